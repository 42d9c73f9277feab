#include "app/fleet_coordination.hpp"

#include <chrono>
#include <random>
#include <set>
#include <utility>

#include "log/log.hpp"

namespace bankmux::app {

using namespace std::chrono_literals;

namespace {

// A report stays valid for three rounds of probing, since one report may be late and one lost.
constexpr int kReportValidRounds = 3;
// The longest operation under a lease is the write of a report; SQLite's lock timeout bounds it, and the
// margin leaves some reserve.
constexpr core::Duration kLeaseMargin = 800ms;

ownership::Settings ownership_settings(const config::Coordination& c) {
  ownership::Settings s;
  s.member_name = c.member;
  s.incarnation = (std::uint64_t(std::random_device{}()) << 32) | std::random_device{}();
  s.duties = {std::string(duties::kProber)};
  s.time_to_live = c.lease;
  s.margin = std::min<core::Duration>(kLeaseMargin, c.lease / 3);
  s.drift = 0.0;  // all members run on one machine and share its clock
  s.min_ownership_time = c.lease / 2;
  return s;
}

}  // namespace

FleetCoordination::FleetCoordination(net::Loop& loop, const config::Coordination& settings,
                                     core::Duration check_every, net::InstanceMonitor& monitor,
                                     net::OperatorPage& page)
    : loop_(loop),
      monitor_(monitor),
      mailbox_(loop),
      store_(settings.file, [this](std::function<void()> run) { mailbox_.post(std::move(run)); }),
      probe_reports_(kReportValidRounds * check_every),
      runner_(loop, store_, ownership_settings(settings), coordination::boot_time,
              [](const std::string& message) { log::write("duty", message); }) {
  const std::string prober(duties::kProber);
  monitor_.share_probing(
      {[this, prober] { return probe_reports_.must_check(loop_.now(), runner_.grant(prober).has_value()); },
       [this](const std::string& instance) { return probe_reports_.is_running(loop_.now(), instance); },
       [this](const std::map<std::string, bool>& running) { publish_report(running); }});
  page.share_operations(
      {[this](const std::string& id, bool drained, std::function<void(bool)> done) {
         const std::string key = std::string(duties::kOutPrefix) + id;
         runner_.write_operator_command(drained ? coordination::Write(coordination::Put{key, "out", 0})
                                                : coordination::Write(coordination::Erase{key}),
                                        std::move(done));
       },
       [this] {
         nlohmann::json all = runner_.describe();
         all["boxes_asked"] = monitor_.probes_sent();
         const auto age = probe_reports_.age(loop_.now());
         all["report_age_s"] = age ? nlohmann::json(double(age->count()) / 1e6) : nlohmann::json();
         return all;
       }});
  runner_.start({std::string(duties::kOutPrefix), ownership::state_key(duties::kProber, duties::kReportName)},
                [this](const std::vector<coordination::Entry>& entries) { apply_entries(entries); });
}

void FleetCoordination::apply_entries(const std::vector<coordination::Entry>& entries) {
  std::set<std::string> drained;
  for (const coordination::Entry& entry : entries) {
    if (entry.key.starts_with(duties::kOutPrefix)) {
      drained.insert(entry.key.substr(duties::kOutPrefix.size()));
    } else {
      (void)probe_reports_.update(loop_.now(), entry.modified, entry.value);
    }
  }
  monitor_.set_drained(drained);
}

// Publishes the latest probe results. Does nothing if another process holds the duty or the lease has
// expired.
void FleetCoordination::publish_report(const std::map<std::string, bool>& running) {
  const auto grant = runner_.grant(std::string(duties::kProber));
  if (!grant || publishing_) return;
  publishing_ = true;
  runner_.write(*grant,
                {coordination::Put{ownership::state_key(duties::kProber, duties::kReportName),
                                   duties::encode({++report_number_, running}), 0}},
                [this](bool) { publishing_ = false; });
}

}  // namespace bankmux::app
