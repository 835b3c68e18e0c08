/**
 * The protocol between the processes of one hall or deployment. Fields are only ever
 * added, as optional ones with new numbers: processes of two versions run side
 * by side during an upgrade.
 */
namespace cpp ridgeferry.protocol.wire

/** One datagram, from each instance to each peer, every heartbeat. */
struct Heartbeat {
  1: required string instance;
  2: required i64 incarnation;
  3: required string hall;
  4: required string peerAddress;
  5: required bool ready;
  6: required bool leaving;
  7: required i64 revision;
  8: optional list<string> leavingUpstreams;
  /**
   * What the sender observes of engines, as three lists of one length: hashes
   * of the engines' ids, hashes of their state (all but the load), their load.
   */
  9: optional list<i32> engines;
  10: optional list<i32> states;
  11: optional list<i32> loads;
  /** Of the same length: tokens that the sender's own calls still have to have
   * read at each engine. */
  12: optional list<i32> work;
  /** Versions of the followed tables at the last change that the sender read. */
  13: optional i64 configVersion;
  14: optional i64 membersVersion;
  /** The sender's own reads of the store fail. */
  15: optional bool storeLost;
  /**
   * Engines whose part the sender knows better than the list, as two lists of
   * one length: hashes of their ids, and 0 (changing), 1 (reads) or 2
   * (generates).
   */
  16: optional list<i32> changedEngines;
  17: optional list<i32> changedParts;
  /** Shared parts of prompts that the sender had read lately, and hashes of the
   * engines that read them: two lists of one length. */
  18: optional list<i32> readParts;
  19: optional list<i32> readEngines;
  /** Hashes of the services whose generating engines, as the sender has measured
   * itself, cannot read beside the output. */
  20: optional list<i32> servicesApart;
  /** The sender's reads of upstreams have gone on without a failure for as long
   * as rows that lapsed take to be back. */
  21: optional bool storeSteady;
  /** The loads and the work are those of all instances of the sender's hall. */
  22: optional bool tellsHall;
  /** For how long the sender's reads of upstreams have gone on without a
   * failure, in milliseconds; not set: they fail, or it makes none. */
  23: optional i64 storeReadsForMs;
  /** Of the same length as `leavingUpstreams`, if set: when each started, in
   * Unix milliseconds by its own clock; negative: it does not say. */
  24: optional list<i64> leavingBorn;
  /** Generations of the store that `configVersion` and `membersVersion` belong
   * to; not set: 0. */
  25: optional i64 configGeneration;
  26: optional i64 membersGeneration;
  /**
   * Upstreams that ended lately while the sender had them run a call, as lists of
   * one length: the digest of the call in two halves, the hash of the upstream's
   * life, and whether the call has run well since.
   */
  27: optional list<i64> endedCallsHigh;
  28: optional list<i64> endedCallsLow;
  29: optional list<i64> endedLives;
  30: optional list<bool> endingsCleared;
  /** Names the set of calls and segments that the sender holds in quarantine; not
   * set: it does not know yet. */
  31: optional i64 heldCalls;
  /** Reading of the store's steady clock, in milliseconds, up to which the
   * sender's configuration holds all that the store had acknowledged. It belongs
   * to `configVersion` and `configGeneration`; not set: nothing is proven. */
  32: optional i64 configProvenMs;
  /** The sender's time of day less the store's steady clock of a generation, in
   * milliseconds; not set: the sender does not know the store's clock. */
  33: optional i64 wallOffsetMs;
  34: optional i64 wallOffsetGeneration;
  /**
   * Limits that upstreams state, as three lists of one length: hashes of their
   * ids, thousandths of a request a second (negative: the upstream states none any
   * more), and how many milliseconds ago an answer stated it.
   */
  35: optional list<i32> limitedUpstreams;
  36: optional list<i32> limits;
  37: optional list<i32> limitAges;
  /** Calls that callers make at the sender, as two lists of one length: hashes of
   * the services' names, and thousandths of a call a second. */
  38: optional list<i32> demandedServices;
  39: optional list<i32> demands;
  /** Hashes of the names of the services of which the sender reaches no upstream
   * that can run calls. */
  40: optional list<i32> unreachableServices;
  /** Calls under way at the sender; not set: none. */
  41: optional i32 runningCalls;
  /**
   * Of the same length as `endedLives`, if set: for a segment of prompts, whose
   * hash is in `endedCallsLow`, how many segments stand before it; negative: a
   * call. Not set: all are calls.
   */
  42: optional list<i32> endedDepths;
  /** Of the same length as `endedLives`, if set: milliseconds since each end. */
  43: optional list<i32> endedAges;
  /**
   * Upstreams that have just started or recovered, as four lists of one length:
   * hashes of their ids, the number of the latest change of the share of calls that
   * each gets, the level that it has since (3: an even part, each below it half of
   * the one above), and how many milliseconds ago it changed.
   */
  44: optional list<i32> startedUpstreams;
  45: optional list<i32> paceChanges;
  46: optional list<i32> paceLevels;
  47: optional list<i32> paceAges;
}

/**
 * One datagram about the software versions that began streams. `streams`, `origins`
 * and `keepForMs` are of one length: the keys of streams, which of the message's
 * origins began each, and for how many milliseconds the record is still to be kept.
 */
struct StreamOrigins {
  1: required list<i64> streams;
  2: required list<i32> origins;
  3: required list<i32> keepForMs;
  /** Origins, as two lists of one length. */
  4: required list<string> services;
  5: required list<string> softwareVersions;
  /** IP:PORT at which the sender takes answers. */
  6: required string answersTo;
  /** Streams that the sender asks about, and the services that their calls would
   * go to: two lists of one length. */
  7: optional list<i64> askedStreams;
  8: optional list<string> askedServices;
  /**
   * Streams that the sender was asked about and has no record of, as three lists
   * of one length: their keys, the only software version that it has seen of the
   * service, and for how many milliseconds (negative: it has seen several, or
   * none).
   */
  9: optional list<i64> unknownStreams;
  10: optional list<string> soleVersions;
  11: optional list<i64> soleForMs;
}

/** One datagram: calls that the sender has passed on to the receiver and still
 * waits for. It renews the lease of each. */
struct LeaseRenewal {
  1: required list<i64> calls;
}

/** Asks a peer for what it has read of a table of the store. */
struct RowsRequest {
  1: required string table;
  /** Only what changed after this version; 0: all. */
  2: required i64 after;
  /** Generation of the store that `after` belongs to; not set: 0. */
  3: optional i64 generation;
}

struct Row {
  1: required string key;
  2: required binary value;
  3: required bool removed;
  4: required i64 version;
}

/** Rows as of a version: those that changed after the version asked for, or,
 * where the peer does not know these any more, all. */
struct RowsReply {
  1: required i64 version;
  2: required bool whole;
  3: required list<Row> rows;
  /** Generation of the store that all versions here belong to; not set: 0. */
  4: optional i64 generation;
  /** Latest reading, in milliseconds, that the store's steady clock of generation
   * `clockGeneration` can have shown when the reply was made; not set: unknown. */
  5: optional i64 latestClockMs;
  6: optional i64 clockGeneration;
}

/** Asks a peer for the changes after a revision. */
struct ChangesRequest {
  1: required i64 after;
}

struct ConfigObject {
  1: required string key;
  2: required string json;
}

/**
 * The changes asked for or, where the peer no longer holds them all, its whole
 * configuration.
 */
struct ChangesReply {
  1: required i64 revision;
  2: required list<string> changes;
  3: optional list<ConfigObject> snapshot;
}
