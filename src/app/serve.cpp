#include "app/serve.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <optional>
#include <utility>

#include "admission/admission_control.hpp"
#include "app/cpu_monitor.hpp"
#include "app/fleet_coordination.hpp"
#include "app/heap_trimmer.hpp"
#include "app/operations.hpp"
#include "app/process_lifecycle.hpp"
#include "app/request_log.hpp"
#include "app/resource_limits.hpp"
#include "app/stream_handover.hpp"
#include "core/conductor.hpp"
#include "log/log.hpp"
#include "net/appliance/agent_check.hpp"
#include "net/appliance/instance_monitor.hpp"
#include "net/appliance/operator_page.hpp"
#include "net/http/http_server.hpp"
#include "net/instances/instance_client.hpp"
#include "net/openai/front.hpp"
#include "net/platform/discovery_watch.hpp"
#include "net/platform/platform_front.hpp"

namespace bankmux::app {

using namespace std::chrono_literals;

namespace {

// How long new connections are accepted after shutdown begins. On the platform they keep arriving for up to
// 0.4 s.
constexpr core::Duration kPlatformAcceptTime = 500ms;
constexpr core::Duration kApplianceAcceptTime = 2500ms;  // load balancers check health every 2 s by default
// SIGKILL follows SIGTERM after the longest deadline, counted as at most 3 s, plus 0.7 s at the earliest.
constexpr core::Duration kMaxDeadline = 3s;
// After the longest deadline; leaves 300 ms of the 0.7 s for the last answers and releases.
constexpr core::Duration kAbandonMargin = 400ms;
// A request that arrives later than this after SIGTERM must not still be unanswered at SIGKILL.
constexpr core::Duration kLateArrival = 700ms;
constexpr core::Duration kMaxHoldUp = 150ms;      // how much later than it was sent SIGTERM may be handled
constexpr core::Duration kFirstListTimeout = 2s;  // of a process that takes over, for discovery's first list
constexpr std::size_t kMaxTenants = 100'000;      // tracked at once; about 20 MB if all are in use
constexpr std::size_t kOperatorConnections = 16;
// Bytes per second; a slow office line delivers twice that.
constexpr std::size_t kMinUploadRate = 256 * 1024;
// After its last answer a connection may send up to this many maximal bodies more, which are read and
// discarded.
constexpr std::size_t kDiscardedBodies = 8;
constexpr core::Duration kDiscardTime = 10s;
// Bytes per second: costs the event loop a few ms in each second.
constexpr std::size_t kDiscardRate = 16 * 1024 * 1024;

std::string temporary_directory() {
  const char* folder = std::getenv("TMPDIR");
  return folder != nullptr && *folder != '\0' ? folder : "/tmp";
}

void log_line(const char* topic, const std::string& text) { log::write(topic, text); }

core::ConductorSettings core_settings(const eiderarch::Settings& module,
                                      const ResourceLimits& resource_limits) {
  core::ConductorSettings settings;
  settings.module = module;
  settings.max_requests = resource_limits.requests;
  return settings;
}

// Closes idle connections before the instance's own idle timeout does: a request written just after that
// would be lost.
net::PoolLimits pool_limits(core::Duration connect, core::Duration idle,
                            const ResourceLimits& resource_limits) {
  return {connect, idle * 4 / 5, resource_limits.instances, resource_limits.answer_bytes};
}

// Allows for bodies of megabytes, which take time to upload. A client that sends too large a body reads its
// 413 only after sending all of it, so that the rest is read and discarded.
net::ServerLimits chat_limits(net::ServerLimits limits, const config::Appliance& appliance) {
  limits.max_body_bytes = appliance.max_body_bytes;
  limits.held_bytes =
      std::max(limits.held_bytes, appliance.max_body_bytes + net::RequestParser::kMaxHeldHeadBytes);
  limits.min_upload_bytes_per_s = kMinUploadRate;
  limits.max_discarded_bytes = kDiscardedBodies * appliance.max_body_bytes;
  limits.discard_time = kDiscardTime;
  limits.discard_bytes_per_s = kDiscardRate;
  return limits;
}

void set_keys(admission::AdmissionControl& admission_control, const config::Appliance& appliance) {
  if (!appliance.keys) {
    admission_control.keys(std::nullopt);
    return log::write("keys", "no API key file configured: every client of the chat API has full access");
  }
  admission_control.keys(admission::ApiKeySet(*appliance.keys));
  log::write("keys", std::to_string(appliance.keys->size()) + " keys loaded from " + appliance.keys_file);
}

// Runs `apply`, which returns a summary of what it has reloaded and whether that covers every change. An
// invalid file changes nothing.
void reload_or_keep(const std::function<std::pair<std::string, bool>()>& apply) {
  try {
    const auto [summary, complete] = apply();
    log::write("reload", summary + (complete ? "" : "; other changes take effect at the next start"));
  } catch (const config::BadConfig& error) {
    log::write("reload", std::string("invalid configuration, keeping the old one: ") + error.what());
  }
}

}  // namespace

void serve(const config::Config& config, const std::function<config::Config()>& reread) {
  // Two processes share the limits during an upgrade; the old one only finishes its open requests.
  const std::size_t sockets = config.passed_socket ? config.sockets * 3 / 4 : config.sockets;
  const ResourceLimits resource_limits(sockets, config.memory_mb);
  net::Loop loop;
  const HeapTrimmer heap_trimmer(loop, resource_limits.memory_bytes);
  std::optional<core::Conductor> conductor;
  net::InstanceClient instances(loop,
                                pool_limits(config.connect_timeout, config.idle_timeout, resource_limits),
                                net::Dialect::platform);
  bool list_received = false, waiting_for_list = false;
  net::DiscoveryWatch discovery(loop, config, [&](const core::FleetUpdate& update) {
    conductor->update_fleet(update);
    list_received = true;
    if (waiting_for_list) loop.stop();
  });
  core::ConductorSettings settings = core_settings(config.module, resource_limits);
  settings.discovery_delay = net::DiscoveryWatch::max_update_delay();
  conductor.emplace(std::move(settings), loop, instances, discovery, log_line);
  conductor->observe(request_log(config.classes, config.tenants));
  net::PlatformFront front(*conductor, loop, config.classes, config.tenants);
  std::optional<PlatformManagement> management;
  if (!config.mgmt.empty()) management.emplace(loop, *conductor, front, config, temporary_directory());
  conductor->update_fleet(config.initial_list);  // the configured list is used until discovery sends one
  discovery.open();
  if (config.passed_socket && !list_received) {
    // Meanwhile the previous process serves clients, with a newer list than the configured one.
    waiting_for_list = true;
    const auto list_timeout = loop.at(loop.now() + kFirstListTimeout, [&] { loop.stop(); });
    loop.run();
    waiting_for_list = false;
  }
  const net::HttpServer::Endpoint endpoint =
      config.passed_socket ? net::HttpServer::Endpoint(*config.passed_socket) : config.listen;
  net::HttpServer server(
      loop, endpoint,
      [&](std::unique_ptr<net::IncomingRequest> incoming) { front.handle(std::move(incoming)); },
      resource_limits.clients);
  std::optional<StreamHandover> stream_handover;
  if (config.passed_socket) {
    stream_handover.emplace(loop, *conductor, instances, front, server,
                            temporary_directory() + "/bankmux-" + config.name);
  }
  if (management) management->set_client_server(server);
  const auto reload = [&] {
    reload_or_keep([&] {
      const config::Config reloaded = reread();
      discovery.move(reloaded.discovery);
      return std::pair("discovery at " + reloaded.discovery,
                       reloaded.startup_settings_hash == config.startup_settings_hash);
    });
  };
  const auto on_shutdown = [&] {
    if (management) management->set_shutting_down();
    // Connections waiting at a passed socket are for the next process, which then answers the readiness
    // checks.
    if (config.passed_socket) {
      // Always succeeds on a passed socket, where it accepts nothing more.
      static_cast<void>(server.stop_listening());
    } else {
      front.set_ready(false);
    }
    if (stream_handover) stream_handover->start_sending();
  };
  ProcessLifecycle lifecycle(loop, *conductor, {&server}, kPlatformAcceptTime, on_shutdown, reload);
  core::Duration longest_deadline{0};
  for (const eiderarch::RequestClass& c : config.module.classes)
    longest_deadline = std::max(longest_deadline, c.deadline);
  lifecycle.set_limits({.refuse_after = kLateArrival - kMaxHoldUp,
                        .abandon_after = std::min(longest_deadline, kMaxDeadline) + kAbandonMargin});
  const CpuMonitor cpu_monitor(loop, config.cpu_budget_per_second);
  for (const std::string& key : config.unknown) {
    log::write("settings", "'settings." + key + "' is unknown and ignored");
  }
  log::write("start", config.name + " listens at " + config.listen);
  lifecycle.run();
}

void serve(config::Appliance appliance, const std::function<config::Appliance()>& reread) {
  const ResourceLimits resource_limits(appliance.sockets, appliance.memory_mb);
  net::Loop loop;
  const HeapTrimmer heap_trimmer(loop, resource_limits.memory_bytes);
  // Declared before the conductor, because requests report to it until they are destroyed.
  admission::AdmissionControl admission_control({appliance.ledger, kMaxTenants, resource_limits.requests},
                                                loop.now());
  set_keys(admission_control, appliance);
  std::optional<core::Conductor> conductor;
  net::InstanceClient instances(
      loop, pool_limits(appliance.connect_timeout, appliance.idle_timeout, resource_limits),
      net::Dialect::openai);
  net::InstanceMonitor monitor(loop, instances, appliance,
                               [&](const core::FleetUpdate& update) { conductor->update_fleet(update); });
  conductor.emplace(core_settings(appliance.module, resource_limits), loop, instances, monitor, log_line);
  conductor->observe(request_log(appliance.classes));
  net::OperatorPage page(*conductor, loop, monitor, admission_control, appliance);
  net::OpenAiFront front(*conductor, loop, admission_control, appliance,
                         net::openai::json_limits(resource_limits.json_bytes),
                         [&] { return page.health_status().state == net::HealthStatus::State::up; });
  net::HttpServer server(
      loop, appliance.listen,
      [&](std::unique_ptr<net::IncomingRequest> incoming) { front.handle(std::move(incoming)); },
      chat_limits(resource_limits.clients, appliance), front.hooks());
  std::vector<net::HttpServer*> servers{&server};
  std::optional<net::HttpServer> operator_server;
  if (!appliance.operator_listen.empty()) {
    operator_server.emplace(
        loop, appliance.operator_listen,
        [&](std::unique_ptr<net::IncomingRequest> incoming) { page.handle(std::move(incoming)); },
        net::ServerLimits{kOperatorConnections, kOperatorConnections * net::RequestParser::kMaxBodyBytes});
    servers.push_back(&*operator_server);
  }
  std::optional<net::AgentCheck> agent;
  if (!appliance.agent_listen.empty()) {
    agent.emplace(loop, appliance.agent_listen, [&] { return page.health_status(); });
  }
  const auto reload = [&] {
    reload_or_keep([&] {
      const bool complete = appliance.apply_reload(reread());
      monitor.reload(appliance);
      set_keys(admission_control, appliance);
      return std::pair(std::to_string(appliance.boxes.size()) + " boxes, " +
                           std::to_string(appliance.models.size()) + " models",
                       complete);
    });
  };
  std::optional<FleetCoordination> fleet_coordination;
  if (appliance.coordination) {
    fleet_coordination.emplace(loop, *appliance.coordination, appliance.check_every, monitor, page);
  }
  const auto on_shutdown = [&] {
    page.set_shutting_down();
    if (fleet_coordination) fleet_coordination->leave();
  };
  ProcessLifecycle lifecycle(loop, *conductor, servers, kApplianceAcceptTime, on_shutdown, reload);
  monitor.start();
  log::write("start", appliance.name + " serves the chat API at " + appliance.listen);
  lifecycle.run();
}

}  // namespace bankmux::app
