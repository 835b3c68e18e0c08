#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <ridgeferry/base/Time.h>
#include <ridgeferry/relay/AttemptEnd.h>
#include <ridgeferry/relay/KeptParts.h>
#include <ridgeferry/relay/MedianPace.h>
#include <ridgeferry/relay/Member.h>
#include <ridgeferry/relay/PartDesk.h>
#include <ridgeferry/relay/Placement.h>
#include <ridgeferry/relay/Prompt.h>
#include <ridgeferry/relay/ReadingBeside.h>
#include <ridgeferry/relay/Routes.h>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ridgeferry::relay {

/** Between a send to an engine and its first byte. */
struct PaceSample
{
  std::string_view m_engine;
  std::int64_t m_work = 0; ///< Read meanwhile, also what was ahead of the call.
  Duration m_took{};
  /** Nothing was ahead as far as known, and the work is sure. Others only tell
   * what callers meet, not what the engine can do: under load it would look
   * slow just when that does most harm. */
  bool m_isClean = false;
};

/** What another instance has under way at a member. */
struct OtherLoad
{
  std::uint32_t m_member = 0; ///< `Fleet::ShortHash` of its id.
  std::int64_t m_running = 0;
  std::int64_t m_tokens = 0; ///< Still to be read.
  bool operator==(const OtherLoad&) const = default;
};

/** What another instance knows of an engine's part ahead of the list. */
struct PartNewsOf
{
  std::uint32_t m_member = 0; ///< `Fleet::ShortHash` of its id.
  std::optional<Part> m_part; ///< Nothing: between two parts.
  bool operator==(const PartNewsOf&) const = default;
};

/**
 * The upstreams of all services and what this instance has under way at each.
 *
 * Engines are chosen by the estimated tokens to read before the first token:
 * what is under way there, plus what of this prompt has to be read anew. Each
 * chain of shared parts has home engines, by rendezvous, where it is taken to
 * be kept: instances agree on them without talking. Plain upstreams are chosen
 * by least expected time. Decisions only; not thread-safe.
 */
class Fleet
{
public:
  /** Failures in a row after which a member rests: one is chance, three are
   * not at the error rates of sound upstreams. */
  static constexpr int kFailuresToRest = 3;
  static constexpr Duration kRest{ 1000 };
  /** Rest of a member at whose address another one answers: the list should
   * say so within two seconds, unless the store is away. */
  static constexpr Duration kDisplacedRest{ 3000 };
  /**
   * A member that was sent something and has not said a word for so long gets
   * nothing more while others are sound: far above what a step or a plain call
   * takes. An engine has besides what the prompts that wait there should take,
   * half as long again: one that only reads says nothing before it has read.
   */
  static constexpr Duration kSilence{ 300 };
  static constexpr double kSilenceOfWork = 1.5;
  /** Bound of that: callers give up after two seconds. */
  static constexpr Duration kMostSilence{ 1500 };
  /** Ids of gone members whose birth is remembered, so that a late row of an
   * earlier life brings none back: some days of replacements, 100 KB. */
  static constexpr std::size_t kMostPastLives = 1000;
  /** Longest rest: it doubles each time that a member is asked again in vain,
   * so that those behind a cut do not cost each caller of this side a try. */
  static constexpr Duration kLongestRest{ 4000 };
  /** Refusals in a row after which a member rests, and for how long: one that
   * is between two parts refuses all, looks idle and would get everything. */
  static constexpr int kDeclinesToRest = 2;
  static constexpr Duration kDeclinedRest{ 300 };

  /**
   * Takes a member as the list has it. In one life a member that leaves stays
   * leaving. With a later life all that was found of the earlier one ends: what
   * it keeps, loads, paces, rests, its part and its leaving. A row of an
   * earlier life is not taken, also after the member has gone.
   */
  LifeOrder Put(const Member& aMember);
  /** `aLapsesUntil`: the list was out of reach not long ago, and a member that
   * has vanished may only have lapsed there; it stays until then. */
  void Drop(std::string_view aId, std::optional<Instant> aLapsesUntil);
  /** The grace of members of a hall that have vanished ends no later. */
  void BoundGraces(std::string_view aHall, Instant aUntil);
  /** Another instance says that it leaves: it gets no new work. */
  void MarkLeaving(const UpstreamLife& aUpstream);
  /** Ends the graces that have passed; tells whose. */
  std::vector<std::string> Tick(Instant aNow);

  PlaceResult FindPlace(const PlaceRequest& aRequest, Instant aNow) const;

  /** A prompt was asked for; `aPause` as in `PlaceRequest`. */
  void NotePrompt(std::string_view aService,
                  const Prompt& aPrompt,
                  Duration aPause);
  /** See `ReadingBeside::NoteStream`. */
  void NoteStream(std::string_view aService, bool aPaused);
  /** `aTokens` to read before the first byte of its answer. */
  void NoteSent(std::string_view aId, std::int64_t aTokens, Instant aNow);
  /** Some bytes came from it, of whatever call. True: it had to prove itself,
   * and has. */
  bool NoteHeard(std::string_view aId);
  /** No connection to it came about in time, or none of what was sent on one
   * was acknowledged: it rests, and then is asked again by one call. */
  void NoteOutOfReach(std::string_view aId, Instant aNow);
  /** Whether it has been sent something and been silent since for too long, or
   * has failed so and a call is out to see whether it is back. */
  bool IsSilent(std::string_view aId, Instant aNow) const;
  /** Whether what is sent to it should go on a connection of its own: kept ones
   * may be what has fallen silent. */
  bool NeedsOwnConnection(std::string_view aId, Instant aNow) const;
  void NoteFirstByte(std::string_view aId, std::int64_t aTokens);
  /** `aTokens` still unread; `aTook` counts for served attempts. True: the
   * member rests from now on. */
  bool NoteEnded(std::string_view aId,
                 std::int64_t aTokens,
                 AttemptEnd aEnd,
                 Duration aTook,
                 Instant aNow);
  void NotePace(const PaceSample& aSample);
  /**
   * A prompt's first token came after `aTook`; `aExpectedMs` as its place said.
   * Loads of other instances are known late, and later in larger deployments:
   * this tells soon by how much all estimates of a service are off, those of
   * long prompts and of short ones apart: they go to different engines.
   */
  void NoteFirstToken(std::string_view aService,
                      const Prompt& aPrompt,
                      double aExpectedMs,
                      Duration aTook,
                      Instant aNow);
  /** Tokens under way at a member, of all instances. */
  std::int64_t TokensAt(std::string_view aId) const;

  /** Replaces what an instance knows of engines' parts ahead of the list;
   * empty: nothing, or it has ended. */
  void SetNews(const std::string& aInstance, std::vector<PartNewsOf> aNews);
  /** The engines of a service that are listed, for a plan of their parts. */
  std::vector<PlannedEngine> EnginesOf(std::string_view aService) const;
  /** Whether some member may only have lapsed from the list. */
  bool HasLapsed() const;
  /** Whether generating engines may read prompts beside the output: as this
   * instance has found, or as enough others have. */
  bool ReadsBeside(std::string_view aService) const;
  /** `ShortHash` of the services that this instance has itself found unable to.
   */
  std::vector<std::uint32_t> OwnApart() const;
  /** The same with what was recalled, for the others: most of them do not read
   * it themselves. */
  std::vector<std::uint32_t> ToldApart() const;
  /** Replaces what another instance has found; empty: nothing, or it has ended.
   */
  void SetApart(const std::string& aInstance,
                std::vector<std::uint32_t> aServices);
  /** What was found before this process began. */
  void RecallApart(std::vector<std::uint32_t> aServices);
  /** Generating engines that the output keeps busy. */
  double GeneratorsNeeded(std::string_view aService,
                          const EngineTraits& aTraits) const;

  /** Replaces what an instance has under way; empty: it has ended. */
  void SetOther(const std::string& aInstance, std::vector<OtherLoad> aLoads);
  /** A prompt is sent to be read there, or was by another instance: its shared
   * parts are kept there from now on. */
  void NoteRead(const Prompt& aPrompt, std::string_view aId, Instant aNow);
  void NoteKept(const KeptPart& aPart, Instant aNow);
  /** What own calls have had read not long ago, for the others. */
  std::vector<KeptPart> OwnReads(Instant aNow, Duration aSince) const;
  /** What this instance has under way, for the others. */
  std::vector<OtherLoad> OwnLoads() const;
  static std::uint32_t ShortHash(std::string_view aId);

  /** Null if it is not known. */
  const Member* Find(std::string_view aId) const;
  std::size_t Size() const { return m_members.size(); }
  /** Tokens that `aMember` has to read for the prompt, by what is known. */
  static std::int64_t TokensToRead(const Prompt& aPrompt, bool aKept);
  /**
   * What the last `aTokens` of a prompt cost to read with attention: each token
   * costs more the more stand before it. In tokens with none before them.
   */
  static std::int64_t WorkOf(const Prompt& aPrompt, std::int64_t aTokens);
  static std::int64_t WorkToRead(const Prompt& aPrompt, bool aKept);
  /** Work to read it at a member, by what is taken to be kept there. */
  std::int64_t WorkAt(const Prompt& aPrompt,
                      std::string_view aId,
                      Instant aNow) const;
  /** Whether the prompt's shared parts are taken to be kept there. */
  bool IsHome(const Prompt& aPrompt, std::string_view aId) const;

private:
  struct State
  {
    Member m_member; ///< Its part: by the news, if there are any.
    Part m_listedPart = Part::Whole;
    bool m_changing = false; ///< Between two parts: it takes nothing new.
    std::uint64_t m_hash = 0;
    std::int64_t m_inFlight = 0;
    std::int64_t m_tokens = 0; ///< Under way here, not read yet.
    std::int64_t m_othersInFlight = 0;
    std::int64_t m_othersTokens = 0;
    double m_tookMs = 0; ///< Smoothed, of served plain calls.
    /** As calls meet it, smoothed over all samples; 0: none. What waits there
     * unknown to this instance, and the output beside, are in it. */
    double m_metPace = 0;
    MedianPace m_pace;      ///< Of the engine alone.
    double m_kindPace = 0;  ///< Of engines like it; 0: none has been seen.
    double m_failShare = 0; ///< Smoothed.
    int m_failuresInRow = 0;
    int m_declinesInRow = 0;
    Duration m_rest = kRest; ///< The next one.
    std::optional<Instant> m_restsUntil;
    /** When it was first sent something that it has not answered by any word.
     */
    std::optional<Instant> m_unheardSince;
    /** It failed without a word: one call at a time until it says something. */
    bool m_mustProve = false;
    std::optional<Instant> m_goneAt; ///< Dropped, within its grace.
  };

  /** An engine that could take a prompt, and when its first token would come.
   */
  struct Candidate
  {
    const State* m_state = nullptr;
    double m_ms = 0;
    bool m_isHome = false;
    double m_readMs = 0;            ///< Of it, for the prompt itself.
    double m_typicalMs = 0;         ///< The same for a typical prompt.
    std::int64_t m_work = 0;        ///< The same as work.
    const State* m_donor = nullptr; ///< It fetches from there.
    bool operator<(const Candidate& aOther) const { return m_ms < aOther.m_ms; }
    /** Before its own reading. */
    double WaitMs() const { return m_ms - m_readMs; }
    /** When a typical prompt's first token would come. */
    double TypicalFirstMs() const { return WaitMs() + m_typicalMs; }
  };

  bool MayServe(const State& aState,
                const PlaceRequest& aRequest,
                Instant aNow) const;
  static Duration SilenceOf(const State& aState);
  static bool IsSilent(const State& aState, Instant aNow);
  static void Rest(State& aState, Instant aNow);
  static bool HasConnection(const State& aState, const PlaceRequest& aRequest);
  PlaceResult FindPlain(std::span<const State* const> aSound,
                        const PlaceRequest& aRequest) const;
  PlaceResult FindEngine(std::span<const State* const> aSound,
                         const PlaceRequest& aRequest,
                         Instant aNow) const;
  /** The same where no prompt is read beside the output. Nothing: no engine
   * only reads. */
  std::optional<PlaceResult> FindReader(std::span<const State* const> aSound,
                                        const PlaceRequest& aRequest,
                                        Instant aNow) const;
  /** Who could read a prompt where none is read beside the output. */
  std::vector<Candidate> ReadersFor(std::span<const State* const> aSound,
                                    const PlaceRequest& aRequest,
                                    Instant aNow) const;
  /** A typical prompt would miss its aim there. `aStretch`: see `StretchOf`. */
  static bool IsLate(const Candidate& aReader,
                     const PlaceRequest& aRequest,
                     double aStretch);
  /** So little waits there that the prompt may be sent. */
  static bool HasRoom(const Candidate& aReader,
                      const PlaceRequest& aRequest,
                      double aStretch);
  /** What to do with a prompt for which there is no room anywhere. */
  static PlaceResult NoRoomAt(const Candidate& aBest,
                              const PlaceRequest& aRequest,
                              double aStretch);
  static const Candidate& PickApart(std::span<const Candidate> aReaders,
                                    const PlaceRequest& aRequest);
  /** Who gives the output of a prompt that was read elsewhere; null: nobody. */
  static const State* PickTaker(const State& aReader,
                                std::span<const State* const> aSound);
  /** Precondition: the request has a prompt. */
  static const Prompt& TypicalOf(const PlaceRequest& aRequest);
  /** Why a typical prompt has no place at any of them; nothing: it has one.
   * Precondition: there is a candidate. */
  std::optional<PlaceFault> RefusalOf(std::span<const Candidate> aCandidates,
                                      const PlaceRequest& aRequest) const;
  bool PassesForItsSize(const Candidate& aBest,
                        const PlaceRequest& aRequest) const;
  /** Nothing: one of them could read it in its caller's time, were it idle.
   * Precondition: there is a candidate. */
  static std::optional<PlaceFault> TooLarge(
    std::span<const Candidate> aCandidates,
    const PlaceRequest& aRequest);
  /** Who reads a long prompt. Precondition: there is a candidate. */
  static const Candidate* PickReader(std::span<const Candidate> aCandidates,
                                     const Candidate& aBest,
                                     const PlaceRequest& aRequest);
  /** Adds who gives the output. Precondition: some sound one generates. */
  static Place WithTaker(const State& aReader,
                         std::span<const State* const> aSound,
                         const PlaceRequest& aRequest);
  static double PaceOf(const State& aState);
  /** `aPace`: `MetPaceOf` where engines read beside their output, else
   * `PaceOf`. */
  static double FirstTokenMs(const State& aState,
                             std::int64_t aWork,
                             double aPace);
  static double MetPaceOf(const State& aState);
  /** Tokens of the prompt's beginning that a member keeps. */
  std::int64_t TokensKept(const Prompt& aPrompt,
                          const State& aState,
                          Instant aNow) const;
  /** Work to read it where prompts are read apart, by what is known of kept
   * parts. */
  std::int64_t WorkApart(const Prompt& aPrompt,
                         const State& aState,
                         Instant aNow) const;
  /** An engine that others may fetch from, and how much it keeps. */
  struct Donor
  {
    const State* m_state = nullptr;
    std::int64_t m_tokens = 0;
  };
  /** Who keeps most of a prompt, of all and in each hall. */
  struct Donors
  {
    Donor m_most;
    std::map<std::string_view, Donor> m_byHall;
  };
  Donors FindDonors(const PlaceRequest& aRequest, Instant aNow) const;
  /** What may wait at a reader, in ms, before a prompt is sent there of whose
   * kind a typical one takes so long to read. */
  static double MostAhead(const PlaceRequest& aRequest,
                          double aTypicalMs,
                          bool aLate);
  /** Whether a prompt is so short that it may be read beside the output there,
   * where longer ones may not. */
  static bool FitsBeside(const PlaceRequest& aRequest, const State& aState);
  static Candidate BesideAt(const PlaceRequest& aRequest, const State& aState);
  Candidate ReaderFor(const PlaceRequest& aRequest,
                      const State& aState,
                      const Donors& aDonors,
                      Instant aNow) const;
  static bool IsQuiet(const State& aState, std::uint64_t aQuietBelow);
  /** Hashes of quiet engines are below this; `aMost`: of all that may be. */
  std::uint64_t QuietBelow(std::string_view aService, bool aMost) const;
  static bool HasFreeSlots(const State& aState);
  std::uint64_t HomeOf(std::uint64_t aKey, std::string_view aService) const;

  /** By how much first tokens come later than expected, smoothed. */
  struct Stretch
  {
    double m_factor = 1;
    Instant m_at;
  };
  /** What is believed of the calls of one service. */
  struct ServiceBelief
  {
    ReadingBeside m_beside;
    double m_heldTokens = 0; ///< Of a call's prompt and output, smoothed.
    MedianPace m_readers;
    MedianPace m_generators;
  };
  double StretchOf(std::string_view aService, const Prompt& aPrompt) const;
  /** Whether it is worth a home, and is kept from quiet engines. */
  static bool IsLong(const Prompt& aPrompt);

  LifeOrder NoteLife(const Member& aMember);
  void ForgetLife(const std::string& aId);
  void Update(const Member& aMember);
  void AddOther(std::span<const OtherLoad> aLoads, std::int64_t aSign);
  void UseNews(State& aState);
  /** What is believed of an engine of which no pace was seen yet. */
  double KindPaceOf(const Member& aMember) const;
  const PartNewsOf* NewsOf(std::uint32_t aMember) const;

  std::map<std::string, State, std::less<>> m_members;
  /** When the latest life of each id was born, also of members that have gone.
   */
  std::unordered_map<std::string, std::int64_t> m_born;
  std::unordered_map<std::uint32_t, std::string> m_byShortHash;
  std::map<std::string, std::vector<OtherLoad>, std::less<>> m_others;
  std::map<std::string, std::vector<PartNewsOf>, std::less<>> m_news;
  KeptParts m_kept;
  std::map<std::string, std::vector<std::uint32_t>, std::less<>> m_apart;
  std::vector<std::uint32_t> m_recalledApart;
  std::deque<std::pair<Instant, KeptPart>> m_ownReads;
  std::map<std::string, ServiceBelief, std::less<>> m_beliefs; ///< By service.
  /** By service: of long prompts, and of short ones. */
  std::map<std::string, Stretch, std::less<>> m_longStretch;
  std::map<std::string, Stretch, std::less<>> m_shortStretch;
};

} // namespace ridgeferry::relay
