// Runs the Ownership protocol of one member against a coordination store: makes the calls that Ownership asks
// for and passes the answers back. All writes of duties and operators go through it.
#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "coordination/store.hpp"
#include "core/ports.hpp"
#include "ownership/ownership.hpp"

namespace bankmux::duties {

class DutyRunner {
 public:
  using Clock = std::function<ownership::Time()>;  // advances also while the machine is suspended
  using Log = std::function<void(const std::string&)>;
  // Receives the entries under the watched prefixes whenever they may have changed.
  using StateCallback = std::function<void(const std::vector<coordination::Entry>&)>;

  DutyRunner(core::Scheduler& scheduler, coordination::Store& store, ownership::Settings settings,
             Clock clock, Log log);
  DutyRunner(const DutyRunner&) = delete;
  DutyRunner& operator=(const DutyRunner&) = delete;

  // Joins the fleet and begins to watch the entries under `prefixes`.
  void start(std::vector<std::string> prefixes, StateCallback on_state);
  // Releases all duties by revoking the lease, so that other members need not wait for its expiry. Calls
  // `on_left` when that is done, or after one second without success.
  void leave(std::function<void()> on_left);

  [[nodiscard]] std::optional<ownership::Grant> grant(const ownership::Duty& duty) const;
  // Writes as the owner of a duty, fenced by `grant`. `done(false)` means that the write was not applied or
  // that its outcome is unknown; the next write replaces it.
  void write(const ownership::Grant& grant, std::vector<coordination::Write> writes,
             std::function<void(bool)> done);
  // Writes an operator's command for the whole fleet. It needs no grant; the last write wins. `done(false)`
  // means that it may or may not have been written, and the operator is asked to call again.
  void write_operator_command(coordination::Write write, std::function<void(bool)> done);

  // For the operator page: members, and for each duty its owner, token, time of ownership, last write, and
  // numbers of applied and rejected writes.
  [[nodiscard]] nlohmann::json describe() const;

 private:
  struct WriteCounts {
    std::uint64_t applied = 0, rejected = 0;
    std::optional<ownership::Time> last_applied;
  };
  void step();
  void send_call(const ownership::Call& call);
  void handle_answer(std::uint64_t number, ownership::Answer answer, const std::string& message);
  void read_state();
  void log_changes();

  core::Scheduler& scheduler_;
  coordination::Store& store_;
  ownership::Settings settings_;
  ownership::Ownership ownership_;
  Clock clock_;
  Log log_;
  std::mt19937_64 random_;
  std::vector<std::string> prefixes_;
  StateCallback on_state_;
  std::function<void()> on_left_;
  std::unique_ptr<coordination::Watch> watch_;
  std::unique_ptr<core::Timer> timer_;
  bool read_pending_ = false, read_again_ = false;
  std::map<ownership::Duty, ownership::OwnerRecord> logged_owners_;  // owners as last logged
  std::map<ownership::Duty, ownership::Time> first_seen_;  // when this member first saw the current owner
  std::map<ownership::Duty, WriteCounts> write_counts_;
  std::uint64_t store_calls_ = 0;  // calls made to the store, for the operator page
  std::string last_failure_;       // of the last ownership call; empty if it succeeded
  std::shared_ptr<bool> alive_;
};

}  // namespace bankmux::duties
