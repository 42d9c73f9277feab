#include "app/serve.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <optional>
#include <utility>

#include "admission/door.hpp"
#include "app/cpu_watch.hpp"
#include "app/fleet_work.hpp"
#include "app/operations.hpp"
#include "app/request_log.hpp"
#include "app/succession.hpp"
#include "app/wind_down.hpp"
#include "core/conductor.hpp"
#include "log/log.hpp"
#include "net/appliance/agent_check.hpp"
#include "net/appliance/box_watch.hpp"
#include "net/appliance/operator_page.hpp"
#include "net/http/http_server.hpp"
#include "net/instances/instance_client.hpp"
#include "net/openai/front.hpp"
#include "net/platform/discovery_watch.hpp"
#include "net/platform/platform_front.hpp"

namespace bankmux::app {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration kPlatformAccepting = 500ms;    // new connections keep coming for up to 0.4 s
constexpr core::Duration kApplianceAccepting = 2500ms;  // balancers check every 2 s by default
// SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as 3 s at most, and 0.7 s.
constexpr core::Duration kMostPatience = 3s;
constexpr core::Duration kBeforeTheKill = 400ms;  // leaves 300 ms for the last answers and releases
constexpr core::Duration kListWait = 2s;          // a successor's, for its first list from discovery
constexpr std::size_t kMostTenants = 100'000;     // kept count of at once; about 20 MB if all come
constexpr std::size_t kOwnSockets = 64;           // loop, log, discovery, listeners, some to spare
constexpr std::size_t kOperatorConnections = 16;
constexpr std::size_t kLeastUploadRate = 256 * 1024;  // bytes a second; a slow office line brings twice that
constexpr std::size_t kThrownAwayBodies = 8;  // bodies' worth of what nobody keeps, after a last answer
constexpr core::Duration kThrowAwayFor = 10s;
constexpr std::size_t kThrowAwayRate = 16 * 1024 * 1024;  // bytes a second: a few ms of the loop in each

// How many of each the process may hold, so that neither descriptors nor memory run out.
struct Bounds {
  std::size_t instances, requests;
  net::ServerLimits clients;
  Bounds(std::size_t sockets, std::size_t memory_mb) {
    const std::size_t free = sockets > 2 * kOwnSockets ? sockets - kOwnSockets : sockets / 2;
    // Clients hold at most a third of all descriptors by requests; the rest of their part is for those that
    // only hold a connection. Each request needs one to an instance, and calls beside it.
    clients.connections = free * 55 / 100;
    instances = free - clients.connections;
    // With few descriptors an open request could else find none for its instance.
    requests = std::min({sockets / 3, instances, clients.connections});
    // A body is held up to three times for a moment: read, kept for the next attempt, and on its way out.
    clients.body_bytes = memory_mb * 1024 * 1024 / 5;
  }
};

std::string temporary_folder() {
  const char* folder = std::getenv("TMPDIR");
  return folder != nullptr && *folder != '\0' ? folder : "/tmp";
}

void log_line(const char* topic, const std::string& text) { log::write(topic, text); }

core::ConductorSettings core_settings(const eiderarch::Settings& module, const Bounds& bounds) {
  core::ConductorSettings settings;
  settings.module = module;
  settings.max_requests = bounds.requests;
  return settings;
}

// Idle connections go before the instances' own limit: a request written just after that would be lost.
net::PoolLimits pool_limits(core::Duration connect, core::Duration idle, const Bounds& bounds) {
  return {connect, idle * 4 / 5, bounds.instances};
}

// Bodies of megabytes take their time, and a client that sends one too many hears its 413 only once it has
// sent it.
net::ServerLimits chat_limits(net::ServerLimits limits, const config::Appliance& appliance) {
  limits.most_body = appliance.most_body;
  limits.least_upload_rate = kLeastUploadRate;
  limits.most_thrown_away = kThrownAwayBodies * appliance.most_body;
  limits.throw_away_for = kThrowAwayFor;
  limits.throw_away_rate = kThrowAwayRate;
  return limits;
}

void set_keys(admission::Door& door, const config::Appliance& appliance) {
  if (!appliance.keys) {
    door.keys(std::nullopt);
    return log::write("keys", "no file of keys: whoever reaches the chat API may use all of it");
  }
  door.keys(admission::KeyRing(*appliance.keys));
  log::write("keys", std::to_string(appliance.keys->size()) + " keys in " + appliance.keys_file);
}

// A faulty file changes nothing. `apply` says what it has taken over, and whether that was all that is new.
void guarded_reload(const std::function<std::pair<std::string, bool>()>& apply) {
  try {
    const auto [what, all] = apply();
    log::write("reload", what + (all ? "" : "; the rest of what is new there counts from the next start"));
  } catch (const config::BadConfig& problem) {
    log::write("reload", std::string("the old configuration stays: ") + problem.what());
  }
}

}  // namespace

void serve(const config::Config& config, const std::function<config::Config()>& reread) {
  // Two processes share the limits while a new version takes over; the old one only finishes what it holds.
  const std::size_t sockets = config.passed_socket ? config.sockets * 3 / 4 : config.sockets;
  const Bounds bounds(sockets, config.memory_mb);
  net::Loop loop;
  std::optional<core::Conductor> conductor;
  net::InstanceClient instances(loop, pool_limits(config.connect_timeout, config.idle_timeout, bounds),
                                net::Dialect::platform);
  bool listed = false, waits = false;  // for discovery's list
  net::DiscoveryWatch discovery(loop, config, [&](const core::FleetNews& news) {
    conductor->news(news);
    listed = true;
    if (waits) loop.stop();
  });
  core::ConductorSettings settings = core_settings(config.module, bounds);
  settings.news_late = net::DiscoveryWatch::most_late();
  conductor.emplace(std::move(settings), loop, instances, discovery, log_line);
  conductor->observe(request_log(config.classes, config.tenants));
  net::PlatformFront front(*conductor, loop, config.classes, config.tenants);
  std::optional<Operations> operations;
  if (!config.mgmt.empty()) operations.emplace(loop, *conductor, front, config, temporary_folder());
  conductor->news(config.known);  // the known list serves until discovery does
  discovery.open();
  if (config.passed_socket && !listed) {
    // The process before this one serves meanwhile, by a newer list than ours.
    waits = true;
    const auto enough = loop.at(loop.now() + kListWait, [&] { loop.stop(); });
    loop.run();
    waits = false;
  }
  const net::HttpServer::Place place =
      config.passed_socket ? net::HttpServer::Place(*config.passed_socket) : config.listen;
  net::HttpServer server(
      loop, place, [&](std::unique_ptr<net::Incoming> incoming) { front.handle(std::move(incoming)); },
      bounds.clients);
  std::optional<Succession> succession;
  if (config.passed_socket) {
    succession.emplace(loop, *conductor, instances, front, server,
                       temporary_folder() + "/bankmux-" + config.name + "-streams");
  }
  if (operations) operations->takes_clients(server);
  const auto reload = [&] {
    guarded_reload([&] {
      const config::Config fresh = reread();
      discovery.move(fresh.discovery);
      return std::pair("discovery at " + fresh.discovery, fresh.fixed == config.fixed);
    });
  };
  const auto begun = [&] {
    if (operations) operations->ending();
    // What waits at a passed socket is its next holder's to take, and towards the front that one is ready.
    if (config.passed_socket) {
      static_cast<void>(server.stop_listening());  // accepts nothing there, so it always stops
    } else {
      front.set_ready(false);
    }
    if (succession) succession->ending();
  };
  WindDown wind_down(loop, *conductor, {&server}, kPlatformAccepting, begun, reload);
  core::Duration longest{0};
  for (const eiderarch::RequestClass& c : config.module.classes) longest = std::max(longest, c.deadline);
  wind_down.give_up_after(std::min(longest, kMostPatience) + kBeforeTheKill);
  const CpuWatch cpu_watch(loop, config.cpu_a_second);
  for (const std::string& key : config.unknown) {
    log::write("settings", "'settings." + key + "' is not known here and is passed over");
  }
  log::write("start", config.name + " serves at " + config.listen);
  wind_down.run();
}

void serve(config::Appliance appliance, const std::function<config::Appliance()>& reread) {
  const Bounds bounds(appliance.sockets, appliance.memory_mb);
  net::Loop loop;
  admission::Door door(
      {appliance.ledger, kMostTenants, bounds.requests});  // requests settle there to the last
  set_keys(door, appliance);
  std::optional<core::Conductor> conductor;
  net::InstanceClient instances(loop, pool_limits(appliance.connect_timeout, appliance.idle_timeout, bounds),
                                net::Dialect::openai);
  net::BoxWatch boxes(loop, instances, appliance,
                      [&](const core::FleetNews& news) { conductor->news(news); });
  conductor.emplace(core_settings(appliance.module, bounds), loop, instances, boxes, log_line);
  conductor->observe(request_log(appliance.classes));
  net::OperatorPage page(*conductor, loop, boxes, door, appliance);
  net::OpenAiFront front(*conductor, loop, door, appliance,
                         [&] { return page.standing().state == net::Standing::State::up; });
  net::HttpServer server(
      loop, appliance.listen,
      [&](std::unique_ptr<net::Incoming> incoming) { front.handle(std::move(incoming)); },
      chat_limits(bounds.clients, appliance), front.hooks());
  std::vector<net::HttpServer*> servers{&server};
  std::optional<net::HttpServer> operators;
  if (!appliance.operator_listen.empty()) {
    operators.emplace(
        loop, appliance.operator_listen,
        [&](std::unique_ptr<net::Incoming> incoming) { page.handle(std::move(incoming)); },
        net::ServerLimits{kOperatorConnections, kOperatorConnections * net::RequestParser::kMostBody});
    servers.push_back(&*operators);
  }
  std::optional<net::AgentCheck> agent;
  if (!appliance.agent_listen.empty()) {
    agent.emplace(loop, appliance.agent_listen, [&] { return page.standing(); });
  }
  const auto reload = [&] {
    guarded_reload([&] {
      const bool all = appliance.take_over(reread());
      boxes.reload(appliance);
      set_keys(door, appliance);
      return std::pair(std::to_string(appliance.boxes.size()) + " boxes, " +
                           std::to_string(appliance.models.size()) + " models",
                       all);
    });
  };
  std::optional<FleetWork> fleet_work;
  if (appliance.coordination) {
    fleet_work.emplace(loop, *appliance.coordination, appliance.check_every, boxes, page);
  }
  const auto begun = [&] {
    page.set_ending();
    if (fleet_work) fleet_work->leave();
  };
  WindDown wind_down(loop, *conductor, servers, kApplianceAccepting, begun, reload);
  boxes.open();
  log::write("start", appliance.name + " serves the chat API at " + appliance.listen);
  wind_down.run();
}

}  // namespace bankmux::app
