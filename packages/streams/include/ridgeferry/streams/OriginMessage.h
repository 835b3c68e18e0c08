#pragma once

#include <ridgeferry/streams/OriginLookup.h>
#include <ridgeferry/streams/OriginTable.h>
#include <string>
#include <vector>

namespace ridgeferry::streams {

/** Asks whether the receiver has a record of a stream, and which versions it
 * has seen of the service that the call would go to. */
struct OriginQuestion
{
  StreamKey m_key;
  std::string m_service;

  bool operator==(const OriginQuestion&) const = default;
};

/** What instances send each other about the origins of streams. */
struct OriginMessage
{
  std::string m_from; ///< IP:PORT at which the sender takes answers.
  std::vector<OriginRecord> m_records;
  std::vector<OriginQuestion> m_questions;
  std::vector<NoRecord> m_noRecords; ///< Answers to questions.

  bool operator==(const OriginMessage&) const = default;
};

} // namespace ridgeferry::streams
