#pragma once

#include <cstddef>
#include <cstdint>
#include <sigc++/sigc++.h>

namespace ridgeferry::net {

/**
 * Bounds the bytes that the bodies of all requests of a process hold together,
 * from the moment at which a request's head tells its length until its answer
 * is given. One request alone is always taken. Small bodies have a part of the
 * room to themselves, so that a few large ones do not shut out all others.
 *
 * Not thread-safe.
 */
class BodyBudget
{
public:
  /** Longest body that may use the whole room. */
  static constexpr std::size_t kSmall = std::size_t{ 32 } * 1024;
  /** Part of the room that longer ones may use. */
  static constexpr double kForLarge = 0.75;

  /** `aMost` is the number of bytes that all bodies may hold together. */
  explicit BodyBudget(std::size_t aMost)
    : m_most(aMost)
  {
  }
  BodyBudget(const BodyBudget&) = delete;
  BodyBudget& operator=(const BodyBudget&) = delete;

  std::size_t Held() const { return m_held; }
  /** Emitted with the length of a body for which there was no room. */
  sigc::signal<void(std::size_t)>& SignalRefused() { return m_refused; }

private:
  friend class BodyShare;
  bool HasRoom(std::size_t aHeldBefore, std::size_t aBytes) const;

  std::size_t m_most;
  std::size_t m_held = 0;
  sigc::signal<void(std::size_t)> m_refused;
};

/** The bytes of one request's body in a `BodyBudget`, given back when this
 * object ends. Not thread-safe. */
class BodyShare
{
public:
  /** Without a budget nothing is bounded. The budget must outlive this object.
   */
  explicit BodyShare(BodyBudget* aBudget = nullptr)
    : m_budget(aBudget)
  {
  }
  ~BodyShare();
  BodyShare(BodyShare&& aOther) noexcept;
  BodyShare& operator=(BodyShare&& aOther) noexcept;
  BodyShare(const BodyShare&) = delete;
  BodyShare& operator=(const BodyShare&) = delete;

  /** Raises the share to `aBytes`, if it is less. Returns false, and changes
   * nothing, if there is no room. */
  bool RaiseTo(std::size_t aBytes);

private:
  BodyBudget* m_budget;
  std::size_t m_bytes = 0;
};

} // namespace ridgeferry::net
