// Compares this process's CPU time per second with the budget that the site grants it and logs a warning
// before the budget is exceeded: a conductor that exceeds it delays all its answers of that second.
#pragma once

#include <memory>

#include "core/ports.hpp"

namespace bankmux::app {

class CpuMonitor {
 public:
  // `budget_per_second`: CPU time granted per second of wall-clock time; 0: no budget is configured and
  // nothing is measured.
  CpuMonitor(core::Scheduler& scheduler, core::Duration budget_per_second);
  CpuMonitor(const CpuMonitor&) = delete;
  CpuMonitor& operator=(const CpuMonitor&) = delete;

 private:
  void sample();

  core::Scheduler& scheduler_;
  core::Duration budget_per_second_;
  core::Time last_sample_at_{0};
  core::Duration last_cpu_time_{0};
  core::Duration highest_logged_{0};  // highest CPU time per second that has been logged
  std::unique_ptr<core::Timer> next_sample_;
};

}  // namespace bankmux::app
