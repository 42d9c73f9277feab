#include "app/cpu_watch.hpp"

#include <sys/resource.h>

#include <chrono>
#include <string>

#include "log/log.hpp"

namespace bankmux::app {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration kLookEvery = 1s;
constexpr double kNearly = 0.8;  // of the grant, from which a second is worth a line
constexpr double kDearer = 1.1;  // times the dearest so far: a busy hour is one line or two, not thousands

core::Duration used_so_far() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto time = [](const timeval& t) { return core::Duration(t.tv_sec * 1'000'000 + t.tv_usec); };
  return time(usage.ru_utime) + time(usage.ru_stime);
}

}  // namespace

CpuWatch::CpuWatch(core::Scheduler& scheduler, core::Duration a_second)
    : scheduler_(scheduler), a_second_(a_second) {
  if (a_second_.count() <= 0) return;
  at_ = scheduler_.now();
  used_ = used_so_far();
  next_ = scheduler_.at(at_ + kLookEvery, [this] { look(); });
}

void CpuWatch::look() {
  const core::Time now = scheduler_.now();
  const core::Duration used = used_so_far();
  // A loop that came late has measured more than a second.
  const double passed = double((now - at_).count()) / double(std::chrono::microseconds(kLookEvery).count());
  const core::Duration second(std::int64_t(double((used - used_).count()) / (passed > 1.0 ? passed : 1.0)));
  if (double(second.count()) > kNearly * double(a_second_.count()) &&
      double(second.count()) > kDearer * double(dearest_.count())) {
    dearest_ = second;
    log::write("cpu", "a second took " + std::to_string(second.count() / 1000) + " ms of processor time; " +
                          std::to_string(a_second_.count() / 1000) + " ms are granted");
  }
  at_ = now;
  used_ = used;
  next_ = scheduler_.at(now + kLookEvery, [this] { look(); });
}

}  // namespace bankmux::app
