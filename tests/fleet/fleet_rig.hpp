// Test fixture for a fleet on one machine: real processes of the program over one coordination store, with
// simulated instances. The processes can be killed, suspended, resumed and restarted. Every read of a
// process's duties page is checked against the ownership rules.
#pragma once

#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "integration/appliance_fixture.hpp"

namespace fleet {

using nlohmann::json;

class Fleet {
 public:
  explicit Fleet(int members, double lease_s = 1.0);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Starts or restarts member `i`, always under the same name.
  void start(int i);
  void kill(int i);  // with SIGKILL
  void signal(int i, int number) { member(i).program().send_signal(number); }
  // Suspends member `i` at a moment at which it holds the write lock of the store's first file. False if
  // there is no such moment in time.
  [[nodiscard]] bool suspend_within_store_write(int i);
  [[nodiscard]] bool is_running(int i) const { return members_[std::size_t(i)] != nullptr; }
  [[nodiscard]] integration::Appliance& member(int i) { return *members_[std::size_t(i)]; }
  [[nodiscard]] int size() const { return int(members_.size()); }

  // The member's duties page; an empty object if the member does not answer.
  json duties(int i);
  // The state of the first instance on the member's status page.
  std::string instance_state(int i);
  // The members, among those that answer, that hold a grant for the prober's duty at this moment.
  std::vector<int> owners(const std::set<int>& excluded = {});
  // Waits until there is exactly one owner, which is not `other_than`, and returns it; -1 if there is none in
  // time.
  int wait_for_owner(int other_than = -1, int timeout_ms = 10'000, const std::set<int>& excluded = {});
  // Polls the owners for `timeout_ms` milliseconds. More than one owner at once is recorded as a violation,
  // and so is a grant with an outdated token.
  void observe(int timeout_ms, const std::set<int>& excluded = {});
  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  [[nodiscard]] std::uint64_t newest_token() const { return newest_token_; }
  // Number of health checks that the instances have received so far.
  [[nodiscard]] int health_checks() { return health_checks_.count("asked"); }
  // Sends one request to a member and returns the status of the response.
  int chat(int i);

  std::string folder, store;

 private:
  void check_page(int i, const json& duties);
  integration::EventLog health_checks_, requests_;
  std::vector<std::unique_ptr<integration::ScriptedServer>> instances_;
  std::vector<std::unique_ptr<integration::Appliance>> members_;
  double lease_s_;
  std::uint64_t newest_token_ = 0;
  std::map<std::uint64_t, std::string> owner_by_token_;  // a token never changes its owner
  std::vector<std::string> violations_;
};

}  // namespace fleet
