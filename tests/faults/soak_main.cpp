// Performs several soak runs in sequence, prints one line for each, and fails if a rule was violated:
//   bankmux_soak [--seed N] [--count N] [--histories FOLDER]
// With --histories, the history of each run with a violation is written to FOLDER.
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>

#include "faults/soak.hpp"

namespace {

void write_history(const std::string& folder, unsigned seed, const faults::SoakResult& result) {
  std::ofstream file(folder + "/soak-" + std::to_string(seed) + ".txt");
  for (const std::string& violation : result.violations) file << "breach " << violation << '\n';
  for (const std::string& fault : result.faults) file << "fault " << fault << '\n';
  for (const faults::HistoryEvent& event : result.events) file << faults::to_text(event) << '\n';
  file << result.logs;
}

}  // namespace

int main(int argc, char** argv) {
  unsigned seed = 1;
  int count = 1;
  std::string folder;
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string name = argv[i];
    if (name == "--seed") seed = unsigned(std::atoi(argv[i + 1]));
    if (name == "--count") count = std::atoi(argv[i + 1]);
    if (name == "--histories") folder = argv[i + 1];
  }
  int failed_runs = 0;
  for (int i = 0; i < count; ++i, ++seed) {
    const faults::SoakSettings settings = faults::settings_for_seed(seed);
    const faults::SoakResult result = faults::run_soak(settings);
    std::cout << "seed " << seed << (settings.crowded ? " crowd" : "") << ": requests " << result.requests
              << ", served " << result.served << ", refused " << result.refused << ", failed "
              << result.failed << ", left " << result.disconnected << ", restarts " << result.restarts
              << ", overdue releases " << result.overdue_releases << ", machine late by "
              << int(result.wakeup_delay * 1000) << " ms, breaches " << result.violations.size() << std::endl;
    for (const std::string& violation : result.violations) std::cout << "  " << violation << std::endl;
    if (!result.violations.empty()) ++failed_runs;
    if (!folder.empty() && !result.violations.empty()) write_history(folder, seed, result);
  }
  std::cout << count - failed_runs << " of " << count << " runs without a breach" << std::endl;
  return failed_runs == 0 ? 0 : 1;
}
