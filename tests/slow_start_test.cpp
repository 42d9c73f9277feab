// The slow-start budget summed over all processes that send to an instance. Each process decides alone; the
// sum must stay within the budget for any number of processes and however unequal their traffic.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <tuple>
#include <vector>

#include "front.hpp"

namespace eiderarch::test {
namespace {

constexpr Duration kStep = 20ms;
constexpr Duration kServiceTime = 300ms;
constexpr Duration kWarmUp = 4s;  // time for the processes to measure what a warm instance gets
constexpr EngineId kNewInstance = 1;
constexpr EngineId kWarmInstances = 5;

// Tolerance over `calls` for chance and for processes that cannot communicate, as the operators allow it.
double allowed(double calls) {
  const double root = std::sqrt(calls);
  return calls + (calls < 30.0 ? 3.0 * root + 3.0 : 2.0 * root + 2.0);
}

// Processes that send to prefill instances, one of which has just started. Attempts succeed after a fixed
// time, except for a share that fails at warm instances and is retried.
class SlowStartSimulation {
 public:
  SlowStartSimulation(std::uint32_t processes, double per_second, bool unequal, double failing)
      : settings_(plain_settings()), rate_(per_second), failing_(failing) {
    settings_.fronts = processes;
    for (EngineId id = kNewInstance; id <= kNewInstance + kWarmInstances; ++id)
      list_.push_back(entry(id, 0, 0));
    for (EngineId id = 101; id <= 106; ++id) list_.push_back(entry(id, 1, 0));
    for (std::uint32_t i = 0; i < processes; ++i) {
      settings_.seed = i + 1;
      processes_.push_back(std::make_unique<RouterHarness>(settings_, list_));
      weights_.push_back(unequal ? 1.0 / double(i + 1) : 1.0);
    }
  }

  void run(Duration length) {
    std::discrete_distribution<std::size_t> pick(weights_.begin(), weights_.end());
    std::poisson_distribution<int> arrivals(rate_ * std::chrono::duration<double>(kStep).count());
    for (const Time end = now_ + length; now_ < end; now_ += kStep) {
      for (const auto& process : processes_) collect(*process, [&] { process->run(kStep); });
      for (int n = arrivals(random_); n > 0; --n) {
        RouterHarness& process = *processes_[pick(random_)];
        collect(process, [&] { process.arrive(++last_id_); });
      }
      finish();
    }
  }

  // Tells every process at the same moment that the instance has just started.
  void restart() {
    started_ = now_;
    std::vector<EngineEntry> new_entry{list_.front()};
    new_entry.front().started = processes_.front()->now;
    for (const auto& process : processes_) {
      collect(*process, [&] { process->handle({ListChanged{ListScope::changes, new_entry}}); });
    }
    sent_to_new_.clear();
    sent_to_warm_ = 0;
  }

  // Largest excess of calls over the budget in any window of `fall_time`; negative if every window is within
  // it.
  [[nodiscard]] double worst_excess() const {
    const double lasted = std::chrono::duration<double>(now_ - started_).count();
    const double warm_rate = double(sent_to_warm_) / double(kWarmInstances) / lasted;
    double worst = -1e9;
    for (std::size_t first = 0; first < sent_to_new_.size(); ++first) {
      const Time until = sent_to_new_[first] + settings_.rules.fall_time;
      const auto last = std::upper_bound(sent_to_new_.begin(), sent_to_new_.end(), until);
      const double calls = double(last - sent_to_new_.begin()) - double(first);
      const double age = std::chrono::duration<double>(sent_to_new_[first] - started_) /
                         std::chrono::duration<double>(settings_.rules.cold_time);
      const double part = settings_.rules.cold_from + (1.0 - settings_.rules.cold_from) * std::min(1.0, age);
      const double seconds = std::chrono::duration<double>(settings_.rules.fall_time).count();
      worst = std::max(worst, calls - allowed(settings_.rules.overload_factor * part * warm_rate * seconds));
    }
    return worst;
  }
  [[nodiscard]] std::size_t sent_to_new() const { return sent_to_new_.size(); }

 private:
  struct Call {
    RouterHarness* process = nullptr;
    RequestId id = 0;
    int attempt = 0;
    EngineId engine = 0;
    Time ends{0};
  };

  // Runs `act` at a process and records what it sends.
  template <typename Do>
  void collect(RouterHarness& process, Do act) {
    const std::size_t before = process.log.size();
    act();
    for (std::size_t i = before; i < process.log.size(); ++i) {
      const auto* send = std::get_if<Send>(&process.log[i]);
      if (send == nullptr) continue;
      calls_.push_back({&process, send->id, attempts_[send->id]++, send->engine, now_ + kServiceTime});
      if (send->engine == kNewInstance) sent_to_new_.push_back(now_);
      if (send->engine > kNewInstance && send->engine <= kNewInstance + kWarmInstances) ++sent_to_warm_;
    }
  }

  void finish() {
    const auto due = std::stable_partition(calls_.begin(), calls_.end(),
                                           [this](const Call& call) { return call.ends > now_; });
    const std::vector<Call> ended(due, calls_.end());
    calls_.erase(due, calls_.end());
    for (const Call& call : ended) {
      const bool prefill = call.engine <= kNewInstance + kWarmInstances;
      const bool fails = prefill && call.engine != kNewInstance && unit_(random_) < failing_;
      const Outcome outcome = fails ? Outcome::error : prefill ? Outcome::state_held : Outcome::served;
      RouterHarness& process = *call.process;
      if (!prefill) process.stream(call.id, call.attempt, call.engine);
      collect(process, [&] { process.end(call.id, call.attempt, call.engine, outcome, 0, !prefill); });
    }
  }

  Settings settings_;
  double rate_, failing_;
  std::vector<EngineEntry> list_;
  std::vector<std::unique_ptr<RouterHarness>> processes_;
  std::vector<double> weights_;
  std::mt19937 random_{11};
  std::uniform_real_distribution<double> unit_;
  Time now_{0}, started_{0};
  RequestId last_id_ = 0;
  std::map<RequestId, int> attempts_;
  std::vector<Call> calls_;
  std::vector<Time> sent_to_new_;
  std::int64_t sent_to_warm_ = 0;
};

class SlowStartProcesses : public testing::TestWithParam<std::uint32_t> {};

TEST_P(SlowStartProcesses, TogetherStayWithinTheBudget) {
  for (const auto& [per_second, unequal, failing] :
       {std::tuple(30.0, false, 0.0), std::tuple(30.0, true, 0.3), std::tuple(150.0, true, 0.1)}) {
    SlowStartSimulation simulation(GetParam(), per_second, unequal, failing);
    simulation.run(kWarmUp);
    simulation.restart();
    simulation.run(plain_settings().rules.cold_time);
    EXPECT_LE(simulation.worst_excess(), 0.0)
        << per_second << " per second, " << (unequal ? "unequal" : "equal") << ", failure share " << failing;
    EXPECT_GT(simulation.sent_to_new(), 0u) << per_second << " per second";
  }
}

INSTANTIATE_TEST_SUITE_P(Processes, SlowStartProcesses, testing::Values(1, 3, 8, 30, 300));

}  // namespace
}  // namespace eiderarch::test
