#include "duties/duty_runner.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bankmux::duties {

using namespace std::chrono_literals;
using coordination::FailureKind;
using ownership::Answer;
using ownership::Call;

namespace {

constexpr core::Duration kLeaveTimeout = 1s;       // longest wait for the store when leaving
constexpr core::Duration kMinStepInterval = 10ms;  // between two steps, at least

std::string describe_failure(FailureKind failure, const std::string& message) {
  const char* outcome = failure == FailureKind::rejected      ? "refused"
                        : failure == FailureKind::not_applied ? "not done"
                                                              : "may be done";
  return std::string(outcome) + (message.empty() ? "" : ": " + message);
}

}  // namespace

DutyRunner::DutyRunner(core::Scheduler& scheduler, coordination::Store& store, ownership::Settings settings,
                       Clock clock, Log log)
    : scheduler_(scheduler),
      store_(store),
      settings_(settings),
      ownership_(std::move(settings)),
      clock_(std::move(clock)),
      log_(std::move(log)),
      random_(settings_.incarnation),
      alive_(std::make_shared<bool>(true)) {}

void DutyRunner::start(std::vector<std::string> prefixes, StateCallback on_state) {
  prefixes_ = std::move(prefixes);
  on_state_ = std::move(on_state);
  watch_ = store_.watch("", [this] {
    ownership_.store_changed();
    read_state();
    step();
  });
  read_state();
  step();
}

void DutyRunner::leave(std::function<void()> on_left) {
  on_left_ = std::move(on_left);
  ownership_.leave();
  step();
  if (!on_left_) return;
  timer_ = scheduler_.at(scheduler_.now() + kLeaveTimeout, [this] {
    if (on_left_) std::exchange(on_left_, nullptr)();
  });
}

std::optional<ownership::Grant> DutyRunner::grant(const ownership::Duty& duty) const {
  return ownership_.grant(duty, clock_());
}

// Makes the next call, if any, and schedules the next step for when something is due.
void DutyRunner::step() {
  const ownership::Time now = clock_();
  const double jitter = std::uniform_real_distribution<double>(0.0, 1.0)(random_);
  if (const auto call = ownership_.next_call(now, jitter)) send_call(*call);
  if (on_left_) {
    if (ownership_.has_left()) std::exchange(on_left_, nullptr)();
    return;
  }
  const core::Duration delay = std::clamp<core::Duration>(ownership_.next_due() - now, kMinStepInterval, 1s);
  timer_ = scheduler_.at(scheduler_.now() + delay, [this] { step(); });
}

void DutyRunner::send_call(const Call& call) {
  ++store_calls_;
  const auto alive = std::weak_ptr<bool>(alive_);
  const auto on_lease_result = [this, alive, number = call.number](const coordination::LeaseResult& r) {
    if (!alive.expired()) handle_answer(number, {r.failure, false, r.lease, r.revision, {}}, r.message);
  };
  switch (call.kind) {
    case Call::Kind::grant:
      return store_.grant(settings_.time_to_live, on_lease_result);
    case Call::Kind::keep_alive:
      return store_.keep_alive(call.lease, on_lease_result);
    case Call::Kind::revoke:
      return store_.revoke(call.lease, on_lease_result);
    default:
      return store_.transact(call.transaction, [this, alive, number = call.number](coordination::Result r) {
        if (!alive.expired())
          handle_answer(number, {r.failure, r.applied, 0, r.revision, std::move(r.entries)}, r.message);
      });
  }
}

void DutyRunner::handle_answer(std::uint64_t number, Answer answer, const std::string& message) {
  // Logs one line when the store becomes unreachable and one when it is reachable again.
  const std::string failure = answer.failure ? describe_failure(*answer.failure, message) : "";
  if (failure != last_failure_) {
    log_(failure.empty() ? "coordination store is reachable again"
                         : "coordination store call failed: " + failure);
    last_failure_ = failure;
  }
  const bool was_rolled_back = ownership_.rolled_back();
  ownership_.handle_answer(clock_(), number, answer);
  if (ownership_.rolled_back() && !was_rolled_back) {
    log_("the store was set back to an older state: nothing is owned here until this process starts again");
  }
  log_changes();
  step();
}

void DutyRunner::log_changes() {
  const auto& owners = ownership_.owners();
  for (const auto& [duty, record] : owners) {
    const auto before = logged_owners_.find(duty);
    if (before != logged_owners_.end() && before->second.token == record.token) continue;
    first_seen_[duty] = clock_();
    log_(duty + " is " + record.owner + "'s by token " + std::to_string(record.token) +
         (before == logged_owners_.end() ? "" : ", after " + before->second.owner));
  }
  for (const auto& [duty, record] : logged_owners_) {
    if (owners.contains(duty)) continue;
    first_seen_.erase(duty);
    log_(duty + " has no owner: " + record.owner + " released it or its lease expired");
  }
  logged_owners_ = owners;
}

void DutyRunner::read_state() {
  if (!on_state_ || prefixes_.empty()) return;
  // At most one read is pending. Changes that arrive meanwhile cause one more read after it.
  if (read_pending_) {
    read_again_ = true;
    return;
  }
  read_pending_ = true;
  ++store_calls_;
  store_.transact({{}, {}, prefixes_},
                  [this, alive = std::weak_ptr<bool>(alive_)](const coordination::Result& r) {
                    if (alive.expired()) return;
                    read_pending_ = false;
                    if (!r.failure) on_state_(r.entries);
                    if (std::exchange(read_again_, false)) read_state();
                  });
}

void DutyRunner::write(const ownership::Grant& grant, std::vector<coordination::Write> writes,
                       std::function<void(bool)> done) {
  ++store_calls_;
  store_.transact(
      ownership::fenced_transaction(grant, std::move(writes)),
      [this, alive = std::weak_ptr<bool>(alive_), duty = grant.duty(),
       done = std::move(done)](const coordination::Result& r) {
        if (alive.expired()) return;
        WriteCounts& counts = write_counts_[duty];
        if (!r.failure && !r.applied) {
          ++counts.rejected;
          log_("a write for " + duty + " was refused: its grant has been followed by a newer one");
        } else if (!r.failure) {
          ++counts.applied;
          counts.last_applied = clock_();
        }
        done(!r.failure && r.applied);
      });
}

void DutyRunner::write_operator_command(coordination::Write write, std::function<void(bool)> done) {
  ++store_calls_;
  store_.transact({{}, {std::move(write)}, {}}, [alive = std::weak_ptr<bool>(alive_),
                                                 done = std::move(done)](const coordination::Result& r) {
    if (!alive.expired()) done(!r.failure && r.applied);
  });
}

nlohmann::json DutyRunner::describe() const {
  const ownership::Time now = clock_();
  const auto seconds = [now](ownership::Time then) { return double((now - then).count()) / 1e6; };
  nlohmann::json out = {
      {"member", settings_.member_name},      {"store", last_failure_.empty() ? "answers" : last_failure_},
      {"set_back", ownership_.rolled_back()}, {"store_calls", store_calls_},
      {"members", nlohmann::json::array()},   {"duties", nlohmann::json::array()}};
  for (const auto& [name, record] : ownership_.members()) out["members"].push_back(name);
  for (const ownership::Duty& duty : settings_.duties) {
    nlohmann::json row = {{"duty", duty}, {"owner", nullptr}};
    const auto record = ownership_.owners().find(duty);
    if (record != ownership_.owners().end()) {
      row["owner"] = record->second.owner;
      row["token"] = record->second.token;
      if (const auto since = first_seen_.find(duty); since != first_seen_.end())
        row["since_s"] = seconds(since->second);
    }
    row["here"] = grant(duty).has_value();
    const auto counts = write_counts_.find(duty);
    row["acts"] = counts != write_counts_.end() ? counts->second.applied : 0;
    row["refused"] = counts != write_counts_.end() ? counts->second.rejected : 0;
    if (counts != write_counts_.end() && counts->second.last_applied)
      row["last_act_s"] = seconds(*counts->second.last_applied);
    out["duties"].push_back(std::move(row));
  }
  return out;
}

}  // namespace bankmux::duties
