// Held KV caches and reservations of a request are released in time even if the connections that its attempts
// used pass no data (incident 41). The program, its discovery and the simulated servers are connected by
// sockets, with a relay in front of each server.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "faults/stand_in_platform.hpp"

using namespace faults;
using integration::client_request;
using integration::Platform;

namespace {

constexpr int kClientWaitMs = 2500;  // much longer than the time limit for releases
const RuleLimits kLimits;
// Time after which an idle connection is reused for another request.
constexpr std::chrono::milliseconds kReuseDelay{60};

struct World {
  SimulatedPlatform servers;
  Platform platform;
  explicit World(ServiceTimes service_times = {},
                 const nlohmann::json& settings = integration::site_settings())
      : servers(2, 3, service_times), platform(servers.listed(), settings) {}

  // Opens connections to every server, which stay idle afterwards.
  void warm_up() {
    std::vector<std::unique_ptr<integration::TestConnection>> clients;
    for (int i = 0; i < 12; ++i) {
      clients.push_back(platform.connect());
      clients.back()->send(client_request("warm" + std::to_string(i), "consulta", 5000, 3000));
    }
    for (const auto& client : clients) REQUIRE(client->receive_all().starts_with("HTTP/1.1 200"));
    std::this_thread::sleep_for(kReuseDelay);
  }
  std::string ask(const std::string& id, const std::string& request_class, int prompt = 3000) {
    const std::string answer = platform.ask(client_request(id, request_class, kClientWaitMs, prompt));
    return answer.substr(0, answer.find("\r\n"));
  }
  void check_held(const std::string& id) {
    const auto events = servers.history().events();
    for (const HistoryEvent& event : events) {
      if (event.id == id) UNSCOPED_INFO(to_text(event));
    }
    CHECK(longest_held(events, id) <= kLimits.held);
  }
};

}  // namespace

TEST_CASE("Faults: a held KV cache is released in time while decode instances are silent") {
  const auto [new_connections, name] = GENERATE(table<Relay::NewConnections, const char*>({
      {Relay::NewConnections::pass, "only open connections are silent"},
      {Relay::NewConnections::silence, "new connections are silent too"},
      {Relay::NewConnections::queue, "new connections stay in the kernel's accept queue"},
  }));
  const std::string request_class = GENERATE("consulta", "ajuste");
  INFO(name << ", " << request_class);
  World world;
  world.warm_up();
  for (SimulatedServer* server : world.servers.of_role(false)) {
    server->relay().set_new_connections(new_connections);
    server->relay().silence_open_connections();
  }
  (void)world.ask("silent", request_class);
  world.check_held("silent");
}

TEST_CASE("Faults: a release reaches a working server while all idle connections are silent") {
  const std::string request_class = GENERATE("consulta", "ajuste");
  INFO(request_class);
  World world;
  world.warm_up();
  for (SimulatedServer* server : world.servers.of_role(false)) {
    server->relay().set_new_connections(Relay::NewConnections::silence);
    server->relay().silence_open_connections();
  }
  for (SimulatedServer* server : world.servers.of_role(true)) server->silence_after_prefill(true);
  (void)world.ask("silent", request_class);
  world.check_held("silent");
}

TEST_CASE("Faults: a reservation is released in time while its prefill does not arrive") {
  // Prefills take most of the class's target time, so that decode capacity is reserved before they end.
  nlohmann::json settings = integration::site_settings();
  settings["categories"][0]["targetS"] = 0.8;
  World world({.prefill_min = 300, .prefill_max = 300}, settings);
  for (int i = 0; i < 4; ++i) REQUIRE(world.ask("warm" + std::to_string(i), "consulta") == "HTTP/1.1 200 OK");
  for (SimulatedServer* server : world.servers.of_role(true)) {
    server->relay().set_new_connections(Relay::NewConnections::silence);
    server->relay().silence_open_connections();
  }
  (void)world.ask("silent", "consulta", 20000);
  const auto events = world.servers.history().events();
  const auto reserved = [](const HistoryEvent& event) {
    return event.id == "silent" && event.kind == HistoryEvent::Kind::reservation_held;
  };
  for (const HistoryEvent& event : events) UNSCOPED_INFO(to_text(event));
  REQUIRE(std::ranges::any_of(events, reserved));
  world.check_held("silent");
}
