#pragma once

namespace ridgeferry::relay {

/**
 * Limits how many calls of a kind are admitted only because they are small.
 *
 * Under load, small prompts fit where typical ones of their kind do not, and
 * admitting them serves more callers with the same prefill capacity. If all of
 * them were admitted, the large ones would be shut out. This class therefore
 * admits one call for its size per few calls that were admitted regardless of
 * size, so that each size is served at least `1 / (1 + kShare)` times as often
 * as its kind. It only makes decisions and does no I/O. It is not thread-safe.
 */
class SizeAllowance
{
public:
  /**
   * Number of calls that may be admitted for their size, per call that was
   * admitted regardless of size.
   */
  static constexpr double kShare = 0.2;
  /**
   * Maximum number of calls in a row that may be admitted for their size after
   * a time of low load.
   */
  static constexpr double kMost = 2;

  bool MayPass() const { return m_left >= 1; }
  /**
   * Records that a call of the kind was admitted. `aForItsSize` tells whether
   * only its small size let it in.
   */
  void NoteAdmitted(bool aForItsSize);

private:
  double m_left = 0;
};

} // namespace ridgeferry::relay
