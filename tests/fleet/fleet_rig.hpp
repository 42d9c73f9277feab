// A fleet on one machine for tests: real processes of the program over one store, with stand-in boxes; they
// can be killed, stopped, woken and started again. What each has said of its duties, in its log and on its
// page, is one history, and a checker reads it.
#pragma once

#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "stories/appliance_world.hpp"

namespace fleet {

using nlohmann::json;

class Fleet {
 public:
  explicit Fleet(int members, double lease_s = 1.0);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts member `i`, again where it has run before; under the same name.
  void start(int i);
  void kill(int i);  // with SIGKILL
  void signal(int i, int number) { member(i).program().send_signal(number); }
  [[nodiscard]] bool runs(int i) const { return members_[std::size_t(i)] != nullptr; }
  [[nodiscard]] stories::Appliance& member(int i) { return *members_[std::size_t(i)]; }
  [[nodiscard]] int size() const { return int(members_.size()); }

  // What that member's page says; an empty object where it does not answer.
  json duties(int i);
  // The members that may act for the prober's duty at this moment, of those that answer.
  std::vector<int> owners(const std::set<int>& without = {});
  // Waits until there is exactly one, other than `not_this`; -1: there was none in time.
  int settled(int not_this = -1, int ms = 10'000, const std::set<int>& without = {});
  // Looks again and again; more than one owner at once, or a token that went back, is a fault.
  void watch(int ms, const std::set<int>& without = {});
  [[nodiscard]] const std::vector<std::string>& faults() const { return faults_; }
  [[nodiscard]] std::uint64_t newest_token() const { return newest_; }
  // Questions that the boxes have had so far, and requests.
  [[nodiscard]] int asked() { return asked_.count("asked"); }
  // One request to a member; its status.
  int chat(int i);

  std::string folder, store;

 private:
  void note(int i, const json& duties);
  stories::Record asked_, seen_;
  std::vector<std::unique_ptr<stories::Peer>> boxes_;
  std::vector<std::unique_ptr<stories::Appliance>> members_;
  double lease_s_;
  std::uint64_t newest_ = 0;
  std::map<std::uint64_t, std::string> owner_of_;  // by token: for ever one
  std::vector<std::string> faults_;
};

}  // namespace fleet
