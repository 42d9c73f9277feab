#include "app/cpu_monitor.hpp"

#include <sys/resource.h>

#include <chrono>
#include <string>

#include "log/log.hpp"

namespace bankmux::app {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration kSampleInterval = 1s;
constexpr double kWarnFraction = 0.8;  // of the budget, above which a warning is logged
// A new warning needs a value this much above the highest logged one, so that a busy hour logs one or two
// lines instead of thousands.
constexpr double kRelogFactor = 1.1;

core::Duration process_cpu_time() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto time = [](const timeval& t) { return core::Duration(t.tv_sec * 1'000'000 + t.tv_usec); };
  return time(usage.ru_utime) + time(usage.ru_stime);
}

}  // namespace

CpuMonitor::CpuMonitor(core::Scheduler& scheduler, core::Duration budget_per_second)
    : scheduler_(scheduler), budget_per_second_(budget_per_second) {
  if (budget_per_second_.count() <= 0) return;
  last_sample_at_ = scheduler_.now();
  last_cpu_time_ = process_cpu_time();
  next_sample_ = scheduler_.at(last_sample_at_ + kSampleInterval, [this] { sample(); });
}

void CpuMonitor::sample() {
  const core::Time now = scheduler_.now();
  const core::Duration cpu_time = process_cpu_time();
  // If the loop is late, the sample covers more than one second.
  const double elapsed_intervals =
      double((now - last_sample_at_).count()) / double(std::chrono::microseconds(kSampleInterval).count());
  const core::Duration cpu_per_second(std::int64_t(double((cpu_time - last_cpu_time_).count()) /
                                                   (elapsed_intervals > 1.0 ? elapsed_intervals : 1.0)));
  if (double(cpu_per_second.count()) > kWarnFraction * double(budget_per_second_.count()) &&
      double(cpu_per_second.count()) > kRelogFactor * double(highest_logged_.count())) {
    highest_logged_ = cpu_per_second;
    log::write("cpu", "used " + std::to_string(cpu_per_second.count() / 1000) +
                          " ms of CPU time in one second; the budget is " +
                          std::to_string(budget_per_second_.count() / 1000) + " ms");
  }
  last_sample_at_ = now;
  last_cpu_time_ = cpu_time;
  next_sample_ = scheduler_.at(now + kSampleInterval, [this] { sample(); });
}

}  // namespace bankmux::app
