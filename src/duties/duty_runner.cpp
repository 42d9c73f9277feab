#include "duties/duty_runner.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace bankmux::duties {

using namespace std::chrono_literals;
using coordination::Fault;
using ownership::Answer;
using ownership::Call;

namespace {

constexpr core::Duration kLeaveFor = 1s;     // an orderly end waits no longer for the store
constexpr core::Duration kLeastLook = 10ms;  // between two looks at what is due

std::string words_of(Fault fault, const std::string& words) {
  const char* kind = fault == Fault::refused    ? "refused"
                     : fault == Fault::not_done ? "not done"
                                                : "may be done";
  return std::string(kind) + (words.empty() ? "" : ": " + words);
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
      draw_(settings_.incarnation),
      alive_(std::make_shared<bool>(true)) {}

void DutyRunner::start(std::vector<std::string> prefixes, State state) {
  prefixes_ = std::move(prefixes);
  state_ = std::move(state);
  watch_ = store_.watch("", [this] {
    ownership_.changed();
    read_state();
    step();
  });
  read_state();
  step();
}

void DutyRunner::leave(std::function<void()> left) {
  left_ = std::move(left);
  ownership_.leave();
  step();
  if (!left_) return;
  next_ = scheduler_.at(scheduler_.now() + kLeaveFor, [this] {
    if (left_) std::exchange(left_, nullptr)();
  });
}

std::optional<ownership::Grant> DutyRunner::grant(const ownership::Duty& duty) const {
  return ownership_.grant(duty, clock_());
}

// Until there is nothing to ask; then again when something falls due.
void DutyRunner::step() {
  const ownership::Time now = clock_();
  const double unit = std::uniform_real_distribution<double>(0.0, 1.0)(draw_);
  if (const auto call = ownership_.next(now, unit)) perform(*call);
  if (left_) {
    if (ownership_.left()) std::exchange(left_, nullptr)();
    return;
  }
  const core::Duration wait = std::clamp<core::Duration>(ownership_.due() - now, kLeastLook, 1s);
  next_ = scheduler_.at(scheduler_.now() + wait, [this] { step(); });
}

void DutyRunner::perform(const Call& call) {
  ++calls_;
  const auto alive = std::weak_ptr<bool>(alive_);
  const auto of_lease = [this, alive, number = call.number](const coordination::LeaseResult& r) {
    if (!alive.expired()) heard(number, {r.fault, false, r.lease, r.revision, {}}, r.words);
  };
  switch (call.kind) {
    case Call::Kind::grant:
      return store_.grant(settings_.time_to_live, of_lease);
    case Call::Kind::keep_alive:
      return store_.keep_alive(call.lease, of_lease);
    case Call::Kind::revoke:
      return store_.revoke(call.lease, of_lease);
    default:
      return store_.transact(call.transaction, [this, alive, number = call.number](coordination::Result r) {
        if (!alive.expired())
          heard(number, {r.fault, r.applied, 0, r.revision, std::move(r.entries)}, r.words);
      });
  }
}

void DutyRunner::heard(std::uint64_t number, Answer answer, const std::string& words) {
  // One line when a store is lost, and one when it is back.
  const std::string fault = answer.fault ? words_of(*answer.fault, words) : "";
  if (fault != fault_) {
    log_(fault.empty() ? "the store answers again" : "a call to the store: " + fault);
    fault_ = fault;
  }
  const bool was_set_back = ownership_.set_back();
  ownership_.answered(clock_(), number, answer);
  if (ownership_.set_back() && !was_set_back) {
    log_("the store was set back to an older state: nothing is owned here until this process starts again");
  }
  log_changes();
  step();
}

void DutyRunner::log_changes() {
  const auto& now = ownership_.owners();
  for (const auto& [duty, held] : now) {
    const auto before = known_.find(duty);
    if (before != known_.end() && before->second.token == held.token) continue;
    since_[duty] = clock_();
    log_(duty + " is " + held.owner + "'s by token " + std::to_string(held.token) +
         (before == known_.end() ? "" : ", after " + before->second.owner));
  }
  for (const auto& [duty, held] : known_) {
    if (now.contains(duty)) continue;
    since_.erase(duty);
    log_(duty + " is nobody's: " + held.owner + " has let go of it, or its lease is over");
  }
  known_ = now;
}

void DutyRunner::read_state() {
  if (!state_ || prefixes_.empty()) return;
  // One read out at a time; what changes meanwhile is read after it.
  if (reading_) {
    read_again_ = true;
    return;
  }
  reading_ = true;
  ++calls_;
  store_.transact({{}, {}, prefixes_},
                  [this, alive = std::weak_ptr<bool>(alive_)](const coordination::Result& r) {
                    if (alive.expired()) return;
                    reading_ = false;
                    if (!r.fault) state_(r.entries);
                    if (std::exchange(read_again_, false)) read_state();
                  });
}

void DutyRunner::write(const ownership::Grant& grant, std::vector<coordination::Write> writes,
                       std::function<void(bool)> done) {
  ++calls_;
  store_.transact(ownership::act(grant, std::move(writes)),
                  [this, alive = std::weak_ptr<bool>(alive_), duty = grant.duty(),
                   done = std::move(done)](const coordination::Result& r) {
                    if (alive.expired()) return;
                    Done& so_far = done_[duty];
                    if (!r.fault && !r.applied) {
                      ++so_far.refused;
                      log_("an act for " + duty + " was refused: its grant has been followed by a newer one");
                    } else if (!r.fault) {
                      ++so_far.acts;
                      so_far.last = clock_();
                    }
                    done(!r.fault && r.applied);
                  });
}

void DutyRunner::say(coordination::Write write, std::function<void(bool)> done) {
  ++calls_;
  store_.transact({{}, {std::move(write)}, {}}, [alive = std::weak_ptr<bool>(alive_),
                                                 done = std::move(done)](const coordination::Result& r) {
    if (!alive.expired()) done(!r.fault && r.applied);
  });
}

nlohmann::json DutyRunner::describe() const {
  const ownership::Time now = clock_();
  const auto seconds = [now](ownership::Time then) { return double((now - then).count()) / 1e6; };
  nlohmann::json out = {{"member", settings_.self},           {"store", fault_.empty() ? "answers" : fault_},
                        {"set_back", ownership_.set_back()},  {"store_calls", calls_},
                        {"members", nlohmann::json::array()}, {"duties", nlohmann::json::array()}};
  for (const auto& [name, held] : ownership_.members()) out["members"].push_back(name);
  for (const ownership::Duty& duty : settings_.duties) {
    nlohmann::json row = {{"duty", duty}, {"owner", nullptr}};
    const auto held = ownership_.owners().find(duty);
    if (held != ownership_.owners().end()) {
      row["owner"] = held->second.owner;
      row["token"] = held->second.token;
      if (const auto since = since_.find(duty); since != since_.end())
        row["since_s"] = seconds(since->second);
    }
    row["here"] = grant(duty).has_value();
    const auto so_far = done_.find(duty);
    row["acts"] = so_far != done_.end() ? so_far->second.acts : 0;
    row["refused"] = so_far != done_.end() ? so_far->second.refused : 0;
    if (so_far != done_.end() && so_far->second.last) row["last_act_s"] = seconds(*so_far->second.last);
    out["duties"].push_back(std::move(row));
  }
  return out;
}

}  // namespace bankmux::duties
