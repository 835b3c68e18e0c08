#include "ridgeferry/daemon/Instance.h"

#include "AdminApi.h"
#include "CallerApi.h"
#include "ClaimService.h"
#include "ConfigService.h"
#include "Node.h"
#include "PeerService.h"
#include "PlannerService.h"
#include "UpstreamWatch.h"

#include <csignal>
#include <ridgeferry/membership/Roster.h>

namespace ridgeferry::daemon {

namespace {

constexpr Duration kStateTick{ 100 };

void
FillNode(Node& aNode, Settings aSettings)
{
  aNode.m_settings = std::move(aSettings);
  aNode.m_incarnation = static_cast<std::uint64_t>(
    net::EventLoop::WallNow().time_since_epoch().count());
  aNode.m_process = ProcessId(aNode.m_settings.m_instance, aNode.m_incarnation);
  aNode.m_loop = net::EventLoop::Make();
  aNode.m_http = std::make_unique<net::HttpClient>(*aNode.m_loop);
  const PlatformSettings& platform = aNode.m_settings.m_platform;
  aNode.m_table = std::make_unique<native::GuardedTable>(
    native::MakeHttpTable(*aNode.m_http, platform.m_table),
    [&aNode] { return aNode.Now(); });
  aNode.m_objects =
    native::MakeHttpObjectStore(*aNode.m_http, platform.m_objects);
  aNode.m_list =
    native::MakeHttpInstanceList(*aNode.m_http, platform.m_instances);
  aNode.m_random.seed(std::random_device()());
}

} // namespace

struct Instance::Impl
{
  Node m_node;
  std::unique_ptr<membership::Roster> m_roster;
  routing::UpstreamSet m_upstreams;
  std::unique_ptr<upstream::EngineClient> m_engines;
  std::unique_ptr<ConfigService> m_config;
  std::unique_ptr<PeerService> m_peers;
  std::unique_ptr<UpstreamWatch> m_watch;
  std::unique_ptr<ClaimService> m_claims;
  std::unique_ptr<PlannerService> m_planner;
  std::unique_ptr<CallerApi> m_callers;
  std::unique_ptr<AdminApi> m_admin;

  bool m_ready = false;
  std::optional<Instant> m_stopping;
  net::Watch m_stateTimer;
  net::Watch m_terminate;
  net::Watch m_interrupt;
  net::Watch m_hangUp; ///< Settings are read at the start only.

  void Build();
  void Connect();
  tl::expected<void, net::NetError> Start();
  void UpdateState();
  void Stop();
  bool MayEnd() const;
};

void
Instance::Impl::Build()
{
  m_roster = std::make_unique<membership::Roster>(m_node.m_settings.m_instance);
  m_engines = std::make_unique<upstream::EngineClient>(*m_node.m_http);
  m_config = std::make_unique<ConfigService>(m_node, *m_roster);
  m_peers = std::make_unique<PeerService>(m_node, *m_roster, *m_config);
  m_watch =
    std::make_unique<UpstreamWatch>(m_node, *m_roster, m_upstreams, *m_engines);
  m_claims = std::make_unique<ClaimService>(m_node);
  m_planner = std::make_unique<PlannerService>(
    m_node, *m_config, *m_roster, m_upstreams, *m_engines);
  m_callers = std::make_unique<CallerApi>(m_node,
                                          *m_config,
                                          *m_roster,
                                          m_upstreams,
                                          *m_planner,
                                          *m_claims,
                                          *m_engines);
  m_admin = std::make_unique<AdminApi>(
    m_node, *m_config, *m_roster, m_upstreams, *m_planner, *m_callers);
}

void
Instance::Impl::Connect()
{
  m_watch->SignalListed().connect(
    [this](std::span<const native::ListedMember> aMembers) {
      m_peers->NoteListed(aMembers);
      m_planner->NoteListed(aMembers);
      m_callers->Pump();
    });
  m_watch->SignalStatus().connect(
    [this](const std::string& aEngine, const upstream::EngineStatus& aStatus) {
      m_planner->NoteStatus(aEngine, aStatus);
    });
  m_watch->SignalLeaving().connect([this](const std::string& aUpstream) {
    m_peers->NoteUpstreamLeaving(aUpstream);
  });
  m_peers->SignalUpstreamLeaving().connect(
    [this](const std::string& aUpstream) { m_watch->MarkLeaving(aUpstream); });
  m_peers->SignalProcessEnded().connect([this](const std::string& aProcess) {
    m_planner->NoteProcessEnded(aProcess);
  });
  m_watch->SetPlannerInterest([this](const std::string& aEngine) {
    return m_planner->IsBusyWith(aEngine);
  });
  m_peers->SetDigestSource([this] { return m_watch->OwnDigests(); });
  m_peers->SignalDigests().connect(
    [this](std::span<const membership::EngineDigest> aDigests) {
      m_watch->NoteDigests(aDigests);
    });
  m_config->SignalApplied().connect([this] { m_peers->SendNow(); });
}

tl::expected<void, net::NetError>
Instance::Impl::Start()
{
  if (auto started = m_peers->Start(); !started) {
    return started;
  }
  if (auto started = m_admin->Start(); !started) {
    return started;
  }
  if (auto started = m_callers->Start(); !started) {
    return started;
  }
  m_config->Start();
  m_watch->Start();
  m_planner->Start();
  m_stateTimer = m_node.m_loop->Every(kStateTick, [this] { UpdateState(); });
  m_terminate = m_node.m_loop->OnSignal(SIGTERM, [this] { Stop(); });
  m_interrupt = m_node.m_loop->OnSignal(SIGINT, [this] { Stop(); });
  m_hangUp = m_node.m_loop->OnSignal(SIGHUP, [this] {
    m_node.m_log->Write(observe::LogLevel::Warning,
                        "hang-up-ignored",
                        { { "cause",
                            "settings are read at the start only: restart to "
                            "use changed ones" } });
  });
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "started",
    { { "process", m_node.m_process },
      { "callers", m_node.m_settings.m_listen.m_callers.ToString() } });
  return {};
}

void
Instance::Impl::UpdateState()
{
  if (!m_ready && !m_stopping && m_config->IsCurrent()) {
    // Once ready, an instance stays it: an outage of the table must not take
    // all instances out of service.
    m_ready = true;
    m_node.m_log->Write(
      observe::LogLevel::Info,
      "ready",
      { { "revision", static_cast<std::int64_t>(m_config->InForce()) } });
  }
  const bool ready = m_ready && !m_stopping;
  m_callers->SetReady(m_ready);
  m_admin->SetState(ready, m_stopping.has_value());
  m_peers->SetState(ready, m_stopping.has_value());
  if (m_stopping && MayEnd()) {
    m_node.m_log->Write(
      observe::LogLevel::Info,
      "stopped",
      { { "cut", static_cast<std::int64_t>(m_callers->Running()) } });
    m_node.m_loop->Stop();
  }
}

bool
Instance::Impl::MayEnd() const
{
  const Duration since = m_node.Now() - *m_stopping;
  if (since >= m_node.m_settings.m_stop.m_longest) {
    return true;
  }
  // A claim whose end is not recorded would tell a retry "may have run".
  return m_callers->Running() == 0 && m_callers->Unsent() == 0 &&
         m_claims->Open() == 0 && since >= m_node.m_settings.m_stop.m_linger;
}

void
Instance::Impl::Stop()
{
  if (m_stopping) {
    return;
  }
  m_stopping = m_node.Now();
  m_node.m_log->Write(
    observe::LogLevel::Info,
    "stopping",
    { { "running", static_cast<std::int64_t>(m_callers->Running()) } });
  m_callers->Drain();
  m_planner->Resign();
  UpdateState();
}

Instance::Instance(std::unique_ptr<Impl> aImpl)
  : m_impl(std::move(aImpl))
{
}

Instance::~Instance() = default;

tl::expected<std::unique_ptr<Instance>, StartError>
Instance::Make(Settings aSettings)
{
  auto impl = std::make_unique<Impl>();
  auto log = observe::Log::Make(aSettings.m_log,
                                { { "instance", aSettings.m_instance },
                                  { "hall", aSettings.m_dataCentre } });
  if (!log) {
    return tl::unexpected(StartError{ "open the log", log.error().m_cause });
  }
  impl->m_node.m_log = std::move(*log);
  FillNode(impl->m_node, std::move(aSettings));
  impl->Build();
  impl->Connect();
  if (auto started = impl->Start(); !started) {
    return tl::unexpected(
      StartError{ started.error().m_what, started.error().m_cause });
  }
  return std::unique_ptr<Instance>(new Instance(std::move(impl)));
}

void
Instance::Run()
{
  m_impl->m_node.m_loop->Run();
}

} // namespace ridgeferry::daemon
