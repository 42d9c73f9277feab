// Compares the silence detector with fixed limits of 4 s and 1 s on simulated instances in simulated time:
// how soon a frozen instance is given up, and how often a working one is. `silence_bench [HOURS]`; a fixed
// seed, and as many simulated hours as given.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <random>
#include <vector>

#include "recovery/failure_detector.hpp"

using namespace bankmux::recovery;
using namespace std::chrono_literals;

namespace {

constexpr int kInstances = 6, kStreams = 12;  // kStreams: always open at each instance
constexpr Duration kStep = 5ms;

struct Result {
  int frozen = 0, false_alarms = 0;
  std::vector<double> seconds;  // from the freeze until the instance is given up
};

// Simulates the fleet. Instances write in batches: every stream of an instance gets an event every
// 30 to 60 ms. One batch in 400 stalls for 0.2 to 0.9 s; one event in 3,000 pauses its own stream for as
// long; for 20 s of every 5 minutes the whole fleet is six times slower; once a minute one instance freezes
// for 10 s.
template <typename Limit>
Result simulate(double hours, bool adaptive, Limit fixed) {
  std::mt19937_64 random(20261201);
  const auto uniform = [&random] { return double(random() >> 11) * 0x1p-53; };
  FailureDetector silence;
  struct Stream {
    Time last{0}, judged_at{0}, paused_until{0};
  };
  struct Instance {
    Time next{0}, frozen_until{0}, frozen_at{0}, alarm_at{0};
    bool found = true;
    std::vector<Stream> streams = std::vector<Stream>(kStreams);
  };
  std::vector<Instance> instances(kInstances);
  for (int b = 0; b < kInstances; ++b) {
    for (int i = 0; i < kStreams; ++i) silence.began(eiderarch::EngineId(b));
  }
  Result result;
  Time next_freeze = 60s;
  const Time end(std::int64_t(hours * 3.6e9));
  for (Time now = kStep; now < end; now += kStep) {
    if (now >= next_freeze) {
      next_freeze += 60s;
      Instance& b = instances[random() % kInstances];
      b.frozen_until = now + 10s;
      b.frozen_at = now;
      b.found = false;
      ++result.frozen;
    }
    const double slow = (now % Duration(5min)) >= 4min && (now % Duration(5min)) < 4min + 20s ? 6.0 : 1.0;
    for (int number = 0; number < kInstances; ++number) {
      Instance& b = instances[std::size_t(number)];
      const auto id = eiderarch::EngineId(number);
      const bool frozen = now < b.frozen_until;
      if (!frozen && now >= b.next) {
        b.next = now + Duration(std::int64_t((30e3 + 30e3 * uniform()) * slow));
        if (uniform() < 1.0 / 400) b.next += Duration(std::int64_t(200e3 + 700e3 * uniform()));
        for (Stream& s : b.streams) {
          if (now < s.paused_until) continue;
          if (uniform() < 1.0 / 3000)
            s.paused_until = now + Duration(std::int64_t(200e3 + 700e3 * uniform()));
          if (adaptive && s.last > 0s) silence.event(id, now, now - s.last);
          s.last = s.judged_at = now;
        }
      }
      for (Stream& s : b.streams) {
        if (s.last == 0s) continue;
        const Duration silent = now - s.last;
        bool lost = false;
        if (!adaptive) {
          lost = silent >= fixed;
        } else if (now >= s.judged_at + (s.judged_at == s.last ? silence.limit(id) : Duration{0})) {
          const Duration more = silence.time_until_lost(id, now, silent);
          lost = more == 0s;
          s.judged_at = now + std::max(more, kStep);
        }
        if (!lost) continue;
        // An instance that is wrongly given up loses all its streams, which counts as one alarm.
        if (!frozen) {
          if (now - b.alarm_at > Duration(1s)) ++result.false_alarms;
          b.alarm_at = now;
        } else if (!b.found) {
          b.found = true;
          result.seconds.push_back(double((now - b.frozen_at).count()) / 1e6);
        }
        s.last = 0s;  // continues at another instance; a new stream starts here
      }
    }
  }
  std::ranges::sort(result.seconds);
  return result;
}

void print(const char* name, const Result& r, double hours) {
  const auto at = [&r](double quantile) {
    return r.seconds.empty()
               ? 0.0
               : r.seconds[std::min(r.seconds.size() - 1, std::size_t(quantile * double(r.seconds.size())))];
  };
  std::printf(
      "%-16s %4d frozen, %4zu given up: after %.2f s (p50), %.2f s (p99); %8.1f false alarms an hour\n", name,
      r.frozen, r.seconds.size(), at(0.5), at(0.99), double(r.false_alarms) / hours);
}

}  // namespace

int main(int argc, char** argv) {
  const double hours = argc > 1 ? std::atof(argv[1]) : 2.0;
  print("fixed 4 s", simulate(hours, false, Duration(4s)), hours);
  print("fixed 1 s", simulate(hours, false, Duration(1s)), hours);
  print("learned", simulate(hours, true, Duration(0s)), hours);
  return 0;
}
