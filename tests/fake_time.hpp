// A simulated clock and event loop for tests of the core.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "core/ports.hpp"

namespace bankmux::test {

using core::Duration;
using core::Time;
using core::Timer;

class FakeTime : public core::Scheduler {
 public:
  struct FakeTimer : Timer {
    FakeTime& time;
    std::multimap<Time, std::pair<FakeTimer*, std::function<void()>>>::iterator position;
    bool pending = true;
    explicit FakeTimer(FakeTime& t) : time(t) {}
    ~FakeTimer() override {
      if (pending) time.timers_.erase(position);
    }
  };
  [[nodiscard]] Time now() const override { return now_; }
  std::unique_ptr<Timer> at(Time when, std::function<void()> run) override {
    auto timer = std::make_unique<FakeTimer>(*this);
    timer->position = timers_.emplace(when, std::make_pair(timer.get(), std::move(run)));
    return timer;
  }
  void soon(std::function<void()> run) override { soon_.push_back(std::move(run)); }
  void run_ready() {
    while (!soon_.empty()) {
      for (const auto& run : std::exchange(soon_, {})) run();
    }
  }
  // Delays the loop: time advances, and no timer fires yet.
  void delay_loop(Duration time) { now_ += time; }
  // Advances time from timer to timer, or at once to the end, as a delayed loop would.
  void advance(Duration time, bool late = false) {
    const Time end = now_ + time;
    run_ready();
    while (!timers_.empty() && timers_.begin()->first <= end) {
      const auto first = timers_.begin();
      now_ = late ? end : std::max(now_, first->first);
      auto [timer, run] = std::move(first->second);
      timer->pending = false;
      timers_.erase(first);
      run();
      run_ready();
    }
    now_ = end;
  }

 private:
  Time now_{1'000'000'000};
  std::multimap<Time, std::pair<FakeTimer*, std::function<void()>>> timers_;
  std::vector<std::function<void()>> soon_;
};

}  // namespace bankmux::test
