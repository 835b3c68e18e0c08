#pragma once

namespace ridgeferry::relay {

/**
 * How many calls of a kind may be admitted only because they are small.
 *
 * Under load small prompts fit where typical ones of their kind do not, and
 * more callers are served by the same reading if they pass; but if all did, the
 * large ones would be shut out. Here one may pass for each few calls that were
 * admitted whatever their size, so that each size is served at least as often
 * as `1 / (1 + kShare)` of its kind. Decisions only; not thread-safe.
 */
class SizeAllowance
{
public:
  /** Calls that may pass for their size, for each that passed without. */
  static constexpr double kShare = 0.2;
  /** So many may pass in a row after calm times. */
  static constexpr double kMost = 2;

  bool MayPass() const { return m_left >= 1; }
  /** A call of the kind was admitted; `aForItsSize`: only because it is small.
   */
  void NoteAdmitted(bool aForItsSize);

private:
  double m_left = 0;
};

} // namespace ridgeferry::relay
