#include "ridgeferry/relay/AttemptGround.h"

namespace ridgeferry::relay {

std::string_view
NameOf(AttemptGround aGround)
{
  switch (aGround) {
    case AttemptGround::NotListed:
      return "not-listed";
    case AttemptGround::NotConnected:
      return "not-connected";
    case AttemptGround::Refused:
      return "connection-refused";
    case AttemptGround::Marked:
      return "says-not-run";
    case AttemptGround::Misdirected:
      return "says-misdirected";
    case AttemptGround::Contradicted:
      return "contradicts-itself";
    case AttemptGround::DeclinedByInstance:
      return "instance-declined";
    case AttemptGround::RefusedByInstance:
      return "instance-refused";
    case AttemptGround::UnnamedRefusal:
      return "unnamed-refusal";
    case AttemptGround::OtherAttempt:
      return "other-attempt";
    case AttemptGround::Prefilled:
      return "prefilled";
    case AttemptGround::RanForPrefill:
      return "ran-for-prefill";
    case AttemptGround::NoAnswer:
      return "no-answer";
    case AttemptGround::Answered:
      return "answered";
    case AttemptGround::None:
      break;
  }
  return "none";
}

bool
ShowsNotRun(AttemptGround aGround)
{
  switch (aGround) {
    case AttemptGround::NotListed:
    case AttemptGround::NotConnected:
    case AttemptGround::Refused:
    case AttemptGround::Marked:
    case AttemptGround::Misdirected:
    case AttemptGround::DeclinedByInstance:
    case AttemptGround::RefusedByInstance:
    case AttemptGround::Prefilled:
      return true;
    case AttemptGround::None:
    case AttemptGround::Contradicted:
    case AttemptGround::UnnamedRefusal:
    case AttemptGround::OtherAttempt:
    case AttemptGround::RanForPrefill:
    case AttemptGround::NoAnswer:
    case AttemptGround::Answered:
      break;
  }
  return false;
}

bool
PromisesNotRun(int aStatus)
{
  constexpr int kRequestTimeout = 408;
  constexpr int kMisdirected = 421;
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  return aStatus == kRequestTimeout || aStatus == kMisdirected ||
         aStatus == kTooMany || aStatus == kUnavailable;
}

AttemptGround
GroundOf(const InstanceAnswer& aAnswer, std::string_view aAttempt)
{
  if (aAnswer.m_attempt && *aAnswer.m_attempt != aAttempt) {
    return AttemptGround::OtherAttempt;
  }
  const bool refuses = aAnswer.m_isDeclined || PromisesNotRun(aAnswer.m_status);
  if (!refuses) {
    return AttemptGround::Answered;
  }
  if (!aAnswer.m_attempt) {
    return AttemptGround::UnnamedRefusal;
  }
  return aAnswer.m_isDeclined ? AttemptGround::DeclinedByInstance
                              : AttemptGround::RefusedByInstance;
}

AttemptGround
GroundOf(const PrefillAnswer& aAnswer)
{
  if (aAnswer.m_hasHandle) {
    return AttemptGround::Prefilled;
  }
  return aAnswer.m_tellsOfARun ? AttemptGround::RanForPrefill
                               : AttemptGround::Answered;
}

} // namespace ridgeferry::relay
