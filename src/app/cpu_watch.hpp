// Measures this process's processor time against what the site grants it, and says so before it is overdrawn:
// what a conductor needs beyond its part makes all its answers of that second late.
#pragma once

#include <memory>

#include "core/ports.hpp"

namespace bankmux::app {

class CpuWatch {
 public:
  // `a_second`: granted in each second of the clock; 0: not told, and nothing is measured.
  CpuWatch(core::Scheduler& scheduler, core::Duration a_second);
  CpuWatch(const CpuWatch&) = delete;
  CpuWatch& operator=(const CpuWatch&) = delete;

 private:
  void look();

  core::Scheduler& scheduler_;
  core::Duration a_second_;
  core::Time at_{0};
  core::Duration used_{0};
  core::Duration dearest_{0};  // that has been logged
  std::unique_ptr<core::Timer> next_;
};

}  // namespace bankmux::app
