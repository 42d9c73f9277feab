// The core's clock and loop, moved by hand.
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
  struct Entry : Timer {
    FakeTime& time;
    std::multimap<Time, std::pair<Entry*, std::function<void()>>>::iterator place;
    bool waiting = true;
    explicit Entry(FakeTime& t) : time(t) {}
    ~Entry() override {
      if (waiting) time.timers_.erase(place);
    }
  };
  [[nodiscard]] Time now() const override { return now_; }
  std::unique_ptr<Timer> at(Time when, std::function<void()> run) override {
    auto entry = std::make_unique<Entry>(*this);
    entry->place = timers_.emplace(when, std::make_pair(entry.get(), std::move(run)));
    return entry;
  }
  void soon(std::function<void()> run) override { soon_.push_back(std::move(run)); }
  void settle() {
    while (!soon_.empty()) {
      for (const auto& run : std::exchange(soon_, {})) run();
    }
  }
  // The loop is held up: time goes on, and no timer strikes yet.
  void hold_up(Duration time) { now_ += time; }
  // Goes on in small steps, or, as a loop that is late would, at once.
  void pass(Duration time, bool late = false) {
    const Time end = now_ + time;
    settle();
    while (!timers_.empty() && timers_.begin()->first <= end) {
      const auto first = timers_.begin();
      now_ = late ? end : std::max(now_, first->first);
      auto [entry, run] = std::move(first->second);
      entry->waiting = false;
      timers_.erase(first);
      run();
      settle();
    }
    now_ = end;
  }

 private:
  Time now_{1'000'000'000};
  std::multimap<Time, std::pair<Entry*, std::function<void()>>> timers_;
  std::vector<std::function<void()>> soon_;
};

}  // namespace bankmux::test
