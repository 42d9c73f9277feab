// Simulated prefill and decode instances for fault tests. Each one has its own relay in front of it; the held
// caches and the history of events are shared.
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
#include "stories/platform_world.hpp"

namespace faults {

// Service times of a simulated server in milliseconds, uniformly distributed from least to most.
struct Pace {
  int prefill_least = 20, prefill_most = 20;
  int first_token_least = 20, first_token_most = 20;
  int events = 4, between_events = 5;
};

class StandInPlatform;

class StandInServer {
 public:
  StandInServer(StandInPlatform& platform, std::string id, bool prefill);
  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] bool prefill() const { return prefill_; }
  [[nodiscard]] Relay& relay() { return *relay_; }
  [[nodiscard]] stories::Platform::Instance listed() const;
  // If on, each answer to a prefill is followed by silencing all open connections.
  void silence_after_prefill(bool on) { silence_after_prefill_ = on; }

 private:
  void serve(stories::Wire& wire);
  bool answer(stories::Wire& wire, const stories::Message& request);
  bool prefill_prompt(stories::Wire& wire, const std::string& id);
  bool decode(stories::Wire& wire, const std::string& id);
  void reserve(stories::Wire& wire, const std::string& id);

  StandInPlatform& platform_;
  std::string id_;
  bool prefill_;
  std::atomic<bool> silence_after_prefill_{false};
  std::unique_ptr<stories::Peer> peer_;
  std::unique_ptr<Relay> relay_;
};

class StandInPlatform {
 public:
  StandInPlatform(int prefill_servers, int decode_servers, Pace pace = {}, unsigned seed = 1);

  [[nodiscard]] History& history() { return history_; }
  [[nodiscard]] std::vector<std::unique_ptr<StandInServer>>& servers() { return servers_; }
  [[nodiscard]] std::vector<StandInServer*> of_role(bool prefill);
  // The servers as discovery lists them.
  [[nodiscard]] std::vector<stories::Platform::Instance> listed() const;

 private:
  friend class StandInServer;
  int draw(int least, int most);

  Pace pace_;
  History history_;
  std::mutex mutex_;  // protects the members below
  unsigned long long random_;
  std::set<std::string> prefilling_, held_, was_held_;
  std::vector<std::unique_ptr<StandInServer>> servers_;
};

}  // namespace faults
