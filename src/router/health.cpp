// Which instances may be chosen: listed as live, not ejected, within their slow-start budget, known to run.
#include "router/impl.hpp"

namespace eiderarch {

void Router::Impl::on(const ListChanged& e) {
  if (e.scope != ListScope::failed) {
    known_.take(e);
  } else if (s_.list_mode == ListMode::on_request) {
    resubscribe_ = now_ + kResubscribe;
  }
}

bool Router::Impl::usable(const Engine& e, const Request& r) const {
  return e.live() && now_ >= e.aside_until && (!known_.cold(e) || welcome(e, r)) && repeat_allowed(e, r);
}

// Instances of a role that may get this request, without those that were full a moment ago and, while others
// are left, without those already tried. Slow instances are handled by score and cost.
std::vector<Engine*> Router::Impl::candidates(const Request& r, bool readers) {
  std::vector<Engine*> pool, fresh;
  for (auto& [id, e] : known_.engines) {
    if (e.reads() != readers || !usable(e, r) || now_ < e.full_until) continue;
    pool.push_back(&e);
    if (untried(e, r)) fresh.push_back(&e);
  }
  return fresh.empty() ? pool : fresh;
}

// With many fronts one front sees few outcomes per instance, so a class's failure share also uses the
// instance's other classes, the role's record for the class and the zone. This detects errors or silence in
// one class or all, and a zone that cannot be reached. Cost: where a whole role fails, instances that are
// known to work get more requests than the median.
void Router::Impl::note(Engine& e, const Request& r, bool well, bool reached) {
  e.all.add(now_, well);
  e.by_class[r.ask.request_class].add(now_, well);
  known_.roles[{e.reads(), r.ask.request_class}].add(now_, well);
  if (well || !reached) known_.zones[e.entry.zone].add(now_, well);
  if (well) e.aside_for = kEjectFirst;
  reach(e, well || reached);
}

// Records whether an instance could be reached. An unreachable one is ejected, for twice as long each time.
void Router::Impl::reach(Engine& e, bool reached) {
  known_.reached.add(now_, reached);
  if (reached) e.heard = now_;
  if (reached || now_ < e.aside_until) return;
  e.aside_until = now_ + e.aside_for;
  e.aside_for = std::min(kEjectMost, 2 * e.aside_for);
}

// After failed connections, or with nothing but a list saved on disk, an instance without recent contact is
// probed before a request goes there. Returns true while the answer is pending; if it is late, the instance
// is avoided for a moment. Without it, the few attempts after a mass restart go to instances that no longer
// exist. Cost: one round trip.
bool Router::Impl::unproven(Engine& e) {
  const bool wary = !known_.listed || known_.reached.failing(now_, 0.0, 3.0) > kWary;
  if (!wary || !blind(e) || (e.heard && now_ - *e.heard < kProof)) return false;
  probe(e);
  if (!e.asked) return false;
  if (now_ - e.asked_at >= kAskWait) e.full_until = now_ + kFullMemory;
  return true;
}

// Share of a warm instance's requests that the slow-start budget allows.
double Router::Impl::cold_part(const Engine& e) const {
  const double from = std::clamp(s_.rules.cold_from, 0.05, 1.0);
  const double age = std::max(0.0, seconds(now_ - e.entry.started) / seconds(s_.rules.cold_time));
  return kColdShare * std::max(1.0, s_.rules.overload_factor) * (from + (1.0 - from) * age);
}

// Sends that this front may make at once; limits what its burst adds to those of the other fronts.
double Router::Impl::cold_credit(const Engine& e) const {
  const double rate = cold_part(e) * known_.usual_rate(e);
  return std::min(e.cold_credit + rate * seconds(now_ - e.cold_at),
                  std::max(1.0, rate * seconds(s_.rules.fall_time)));
}

// An instance in slow start takes that share of the requests that would choose it, by a draw for each
// request, so all fronts together follow what a warm instance gets, however few requests each front has. The
// share falls when the list has lost instances, because each remaining one is then chosen more often. Part of
// the budget is left unused for chance.
bool Router::Impl::welcome(const Engine& e, const Request& r) const {
  const double left =
      e.reads() ? known_.all.readers / known_.most.readers : known_.all.writers / known_.most.writers;
  const auto draws = std::uint64_t((now_ - r.arrived) / kColdDraw);
  return cold_credit(e) >= 1.0 &&
         unit(mix(mix(s_.seed + draws, r.ask.id), e.entry.engine)) < cold_part(e) * left;
}

void Router::Impl::on(const ProbeEnded& e) {
  Engine* const engine = known_.find(e.engine);
  if (engine == nullptr) return;
  engine->asked = false;
  if (e.outcome != Outcome::cancelled) reach(*engine, e.outcome != Outcome::not_connected);
  std::optional<double> told;
  for (const LoadValue& value : e.report) {
    if (value.field == ReportField::queued_ktokens && value.value >= 0.0)
      told = 1000.0 * std::min(value.value, kMostTold);
  }
  if (told && e.elapsed > kAskWait) known_.jam += kPaceGain * (*told - known_.jam);
  if (!told && e.outcome != Outcome::busy) return;
  engine->told = told.value_or(known_.jam);
  engine->told_at = now_;
  double& usual = known_.usual_told[engine->reads() ? 1 : 0];
  usual += kPaceGain * (engine->told - usual);
}

}  // namespace eiderarch
