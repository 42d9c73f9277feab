// Runs a member's part of ownership over a store: asks what Ownership says, tells it the answers, and is the
// one way by which duties and operators write.
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
  using Clock = std::function<ownership::Time()>;  // one that also runs while the machine sleeps
  using Log = std::function<void(const std::string&)>;
  // What the fleet has written under these prefixes, whenever it may have changed.
  using State = std::function<void(const std::vector<coordination::Entry>&)>;

  DutyRunner(core::Scheduler& scheduler, coordination::Store& store, ownership::Settings settings,
             Clock clock, Log log);
  DutyRunner(const DutyRunner&) = delete;
  DutyRunner& operator=(const DutyRunner&) = delete;

  void start(std::vector<std::string> prefixes, State state);
  // Lets go of everything in order, so that others need not wait for the lease; `left` once that is done, or
  // can't be.
  void leave(std::function<void()> left);

  [[nodiscard]] std::optional<ownership::Grant> grant(const ownership::Duty& duty) const;
  // A fenced write of a duty. `done(false)`: it has no effect, or nobody knows; the next one says it anew.
  void write(const ownership::Grant& grant, std::vector<coordination::Write> writes,
             std::function<void(bool)> done);
  // An operator's word to all, which stands on no duty: the last one counts. `done(false)`: it may have been
  // written or not, and the operator is told to call again.
  void say(coordination::Write write, std::function<void(bool)> done);

  // Who owns what, since when, by which token; who is a member; the last act and those refused.
  [[nodiscard]] nlohmann::json describe() const;

 private:
  struct Done {
    std::uint64_t acts = 0, refused = 0;
    std::optional<ownership::Time> last;
  };
  void step();
  void perform(const ownership::Call& call);
  void heard(std::uint64_t number, ownership::Answer answer, const std::string& words);
  void read_state();
  void log_changes();

  core::Scheduler& scheduler_;
  coordination::Store& store_;
  ownership::Settings settings_;
  ownership::Ownership ownership_;
  Clock clock_;
  Log log_;
  std::mt19937_64 draw_;
  std::vector<std::string> prefixes_;
  State state_;
  std::function<void()> left_;
  std::unique_ptr<coordination::Watch> watch_;
  std::unique_ptr<core::Timer> next_;
  bool reading_ = false, read_again_ = false;
  std::map<ownership::Duty, ownership::Held> known_;  // as last logged
  std::map<ownership::Duty, ownership::Time> since_;  // as this member has seen it
  std::map<ownership::Duty, Done> done_;
  std::uint64_t calls_ = 0;  // to the store
  std::string fault_;        // of the last call; empty: it was answered
  std::shared_ptr<bool> alive_;
};

}  // namespace bankmux::duties
