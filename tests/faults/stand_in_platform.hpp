// Simulated prefill and decode instances, following the instance protocol, for fault tests. Each one has its
// own relay in front of it; the held caches and the history of events are shared.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "faults/history.hpp"
#include "faults/relay.hpp"
#include "integration/platform_fixture.hpp"

namespace faults {

// Service times of a simulated server in milliseconds, uniformly distributed between minimum and maximum.
struct ServiceTimes {
  int prefill_min = 20, prefill_max = 20;
  int first_token_min = 20, first_token_max = 20;
  int events = 4, between_events = 5;
  // Of the answers of decode instances, end after half of their events, with a response that is well formed.
  int partial_percent = 0;
};

class SimulatedPlatform;

class SimulatedServer {
 public:
  SimulatedServer(SimulatedPlatform& platform, std::string id, bool prefill);
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] bool prefill() const { return prefill_; }
  [[nodiscard]] Relay& relay() { return *relay_; }
  [[nodiscard]] integration::Platform::Instance listed() const;
  // If on, each answer to a prefill is followed by silencing all open connections.
  void silence_after_prefill(bool on) { silence_after_prefill_ = on; }

 private:
  void serve(integration::TestConnection& wire);
  // When the last input of the connection reached the relay. This server may be delayed, and what it observes
  // must not be blamed on the program.
  [[nodiscard]] double arrival(const integration::TestConnection& wire) const;
  bool answer(integration::TestConnection& wire, const integration::Message& request);
  bool run_prefill(integration::TestConnection& wire, const std::string& id);
  bool decode(integration::TestConnection& wire, const std::string& id);
  void reserve(integration::TestConnection& wire, const std::string& id);

  SimulatedPlatform& platform_;
  std::string id_;
  bool prefill_;
  std::atomic<bool> silence_after_prefill_{false};
  std::unique_ptr<integration::ScriptedServer> peer_;
  std::unique_ptr<Relay> relay_;
};

class SimulatedPlatform {
 public:
  SimulatedPlatform(int prefill_servers, int decode_servers, ServiceTimes service_times = {},
                    unsigned seed = 1);

  [[nodiscard]] History& history() { return history_; }
  [[nodiscard]] std::vector<std::unique_ptr<SimulatedServer>>& servers() { return servers_; }
  [[nodiscard]] std::vector<SimulatedServer*> of_role(bool prefill);
  // The servers as discovery lists them.
  [[nodiscard]] std::vector<integration::Platform::Instance> listed() const;

 private:
  friend class SimulatedServer;
  int random_between(int minimum, int maximum);

  ServiceTimes service_times_;
  History history_;
  std::mutex mutex_;  // protects the members below
  unsigned long long random_;
  std::set<std::string> prefilling_, held_caches_, ever_held_;
  std::vector<std::unique_ptr<SimulatedServer>> servers_;
};

}  // namespace faults
