// Cost of sharing duties, and how long a duty has no owner, with real processes over one coordination store:
//   duty_bench MEMBERS [ROUNDS] [LEASE_S]
// Kills, suspends and shuts down the owner in turn, ROUNDS times each. Prints the time until another member
// holds the grant (least, middle, most), and the store calls and health checks of instances per second.
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "fleet/fleet_rig.hpp"

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

double seconds_since(Clock::time_point begun) {
  return std::chrono::duration<double>(Clock::now() - begun).count();
}

std::uint64_t store_calls(fleet::Fleet& fleet) {
  std::uint64_t all = 0;
  for (int i = 0; i < fleet.size(); ++i) all += fleet.duties(i).value("store_calls", 0ULL);
  return all;
}

void print(const char* what, std::vector<double> times, double lease) {
  if (times.empty()) return;
  std::sort(times.begin(), times.end());
  std::printf("%-28s %6.2f %6.2f %6.2f s   lease %.1f s, %zu times\n", what, times.front(),
              times[times.size() / 2], times.back(), lease, times.size());
}

}  // namespace

int main(int argc, char** argv) {
  const int members = argc > 1 ? std::atoi(argv[1]) : 3;
  const int rounds = argc > 2 ? std::atoi(argv[2]) : 5;
  const double lease = argc > 3 ? std::atof(argv[3]) : 1.0;
  if (members < 2 || rounds < 1 || lease < 1.0) {
    std::fprintf(stderr, "usage: duty_bench MEMBERS [ROUNDS] [LEASE_S]\n");
    return 2;
  }
  fleet::Fleet fleet(members, lease);
  if (fleet.wait_for_owner() < 0) return 1;
  std::this_thread::sleep_for(2s);
  const auto begun = Clock::now();
  const std::uint64_t store_calls_before = store_calls(fleet);
  const int health_checks_before = fleet.health_checks();
  std::this_thread::sleep_for(5s);
  const double time = seconds_since(begun);
  std::printf(
      "%d members: %.1f calls to the store a second, %.1f questions to two boxes a second (alone each: "
      "%.1f)\n",
      members, double(store_calls(fleet) - store_calls_before) / time,
      double(fleet.health_checks() - health_checks_before) / time, members * 2 / 0.2);
  std::vector<double> killed, stopped, ended;
  for (int round = 0; round < rounds; ++round) {
    for (std::vector<double>* times : {&killed, &stopped, &ended}) {
      const int owner = fleet.wait_for_owner();
      if (owner < 0) return 1;
      const auto from = Clock::now();
      if (times == &killed) fleet.kill(owner);
      if (times == &stopped) fleet.signal(owner, SIGSTOP);
      if (times == &ended) fleet.signal(owner, SIGTERM);
      if (fleet.wait_for_owner(owner, 60'000, {owner}) < 0) return 1;
      times->push_back(seconds_since(from));
      if (times == &stopped) {
        fleet.signal(owner, SIGCONT);
      } else {
        if (times == &ended) fleet.kill(owner);
        fleet.start(owner);
      }
      std::this_thread::sleep_for(300ms);
    }
  }
  std::printf("time without an owner          least middle most\n");
  print("killed", killed, lease);
  print("stopped", stopped, lease);
  print("ended in order", ended, lease);
  for (const std::string& violation : fleet.violations()) std::printf("fault: %s\n", violation.c_str());
  return fleet.violations().empty() ? 0 : 1;
}
