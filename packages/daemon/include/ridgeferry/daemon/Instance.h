#pragma once

#include <memory>
#include <ridgeferry/daemon/Settings.h>
#include <string>
#include <tl/expected.hpp>

namespace ridgeferry::daemon {

/** Why an instance could not start. */
struct StartError
{
  std::string m_what;
  std::string m_cause;
};

/** One process of the system: all its services on one loop. */
class Instance
{
public:
  /** Error: an address is taken, the log cannot be opened. Nothing is left
   * running then. */
  static tl::expected<std::unique_ptr<Instance>, StartError> Make(
    Settings aSettings);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /** Serves until a planned stop (SIGTERM or SIGINT) has ended. */
  void Run();

  struct Impl;

private:
  explicit Instance(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> m_impl;
};

} // namespace ridgeferry::daemon
