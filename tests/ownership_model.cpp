// Runs the model checker of Ownership: unchanged, where it must find no violation, or with one deliberate
// defect, which it must find. Built without sanitizers and with optimisation, since its value depends on the
// number of states that it explores.
//   ownership_model check MEMBERS DUTIES DEPTH      exit code 0: no violation
//   ownership_model defect fencing|margin|answer    exit code 0: violation found
#include "ownership_model.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>

using bankmux::test::ModelReport;
using bankmux::test::ModelSettings;
using bankmux::test::OwnershipModel;

namespace {

ModelReport run(const ModelSettings& settings) {
  const auto begun = std::chrono::steady_clock::now();
  ModelReport report = OwnershipModel(settings).run();
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begun;
  std::printf("%d members, %zu duties: %zu states, depth %d, %.2f s\n", settings.members,
              settings.duties.size(), report.states, report.depth, elapsed.count());
  if (report.violation) std::printf("violation: %s\n", report.violation->c_str());
  return report;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string command = argc > 1 ? argv[1] : "";
  ModelSettings settings;
  if (command == "check" && argc == 5) {
    settings.members = std::atoi(argv[2]);
    settings.duties.clear();
    for (int i = 0; i < std::atoi(argv[3]); ++i) settings.duties.push_back(std::string(1, char('a' + i)));
    settings.depth = std::atoi(argv[4]);
    return run(settings).violation ? 1 : 0;
  }
  const std::string defect = argc == 3 && command == "defect" ? argv[2] : "";
  settings.members = 2;
  settings.duties = {"a"};
  settings.depth = 15;
  if (defect == "fencing") {
    settings.fencing = false;
  } else if (defect == "margin") {
    settings.margin = 0;
    settings.faults = settings.suspensions = 0;
  } else if (defect == "answer") {
    settings.lease_from_answer = true;
    settings.suspensions = 0;
  } else {
    std::fprintf(stderr,
                 "usage: ownership_model check MEMBERS DUTIES DEPTH | defect fencing|margin|answer\n");
    return 2;
  }
  return run(settings).violation ? 0 : 1;
}
