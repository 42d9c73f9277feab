#include "app/fleet_work.hpp"

#include <chrono>
#include <random>
#include <set>
#include <utility>

#include "log/log.hpp"

namespace bankmux::app {

using namespace std::chrono_literals;

namespace {

// A report stands for three rounds of asking: one may be late and one lost.
constexpr int kRounds = 3;
// The longest act, the write of a report, is bounded by what SQLite waits for the file, and some to spare.
constexpr core::Duration kMargin = 800ms;

ownership::Settings ownership_settings(const config::Coordination& c) {
  ownership::Settings s;
  s.self = c.member;
  s.incarnation = (std::uint64_t(std::random_device{}()) << 32) | std::random_device{}();
  s.duties = {std::string(duties::kProber)};
  s.time_to_live = c.lease;
  s.margin = std::min<core::Duration>(kMargin, c.lease / 3);
  s.drift = 0.0;  // one machine, one clock
  s.dwell = c.lease / 2;
  return s;
}

}  // namespace

FleetWork::FleetWork(net::Loop& loop, const config::Coordination& settings, core::Duration check_every,
                     net::BoxWatch& boxes, net::OperatorPage& page)
    : loop_(loop),
      boxes_(boxes),
      mailbox_(loop),
      store_(settings.file, [this](std::function<void()> run) { mailbox_.post(std::move(run)); }),
      view_(kRounds * check_every),
      runner_(loop, store_, ownership_settings(settings), coordination::boot_time,
              [](const std::string& words) { log::write("duty", words); }) {
  const std::string prober(duties::kProber);
  boxes_.share({[this, prober] { return view_.asks(loop_.now(), runner_.grant(prober).has_value()); },
                [this](const std::string& box) { return view_.runs(loop_.now(), box); },
                [this](const std::map<std::string, bool>& runs) { publish(runs); }});
  page.share({[this](const std::string& id, bool out, std::function<void(bool)> done) {
                const std::string key = std::string(duties::kOutPrefix) + id;
                runner_.say(out ? coordination::Write(coordination::Put{key, "out", 0})
                                : coordination::Write(coordination::Erase{key}),
                            std::move(done));
              },
              [this] {
                nlohmann::json all = runner_.describe();
                all["boxes_asked"] = boxes_.asked();
                const auto age = view_.age(loop_.now());
                all["report_age_s"] = age ? nlohmann::json(double(age->count()) / 1e6) : nlohmann::json();
                return all;
              }});
  runner_.start({std::string(duties::kOutPrefix), ownership::state_key(duties::kProber, duties::kReportName)},
                [this](const std::vector<coordination::Entry>& entries) { state(entries); });
}

void FleetWork::state(const std::vector<coordination::Entry>& entries) {
  std::set<std::string> out;
  for (const coordination::Entry& entry : entries) {
    if (entry.key.starts_with(duties::kOutPrefix)) {
      out.insert(entry.key.substr(duties::kOutPrefix.size()));
    } else {
      (void)view_.heard(loop_.now(), entry.modified, entry.value);
    }
  }
  boxes_.set_out(out);
}

// With what the boxes answered up to now; nothing where the duty is another's, or its time is over.
void FleetWork::publish(const std::map<std::string, bool>& runs) {
  const auto grant = runner_.grant(std::string(duties::kProber));
  if (!grant || publishing_) return;
  publishing_ = true;
  runner_.write(*grant,
                {coordination::Put{ownership::state_key(duties::kProber, duties::kReportName),
                                   duties::encode({++reports_, runs}), 0}},
                [this](bool) { publishing_ = false; });
}

}  // namespace bankmux::app
