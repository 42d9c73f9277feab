#include "estimates/beliefs.hpp"

namespace eiderarch {

void Beliefs::take(const ListChanged& e) {
  listed |= e.scope != ListScope::disk;
  // Instances that a complete list does not name are gone. Marking all first and then updating those named
  // takes one pass; lists are long.
  if (e.scope != ListScope::changes) {
    for (auto& [id, engine] : engines) engine.entry.state = EngineState::gone;
  }
  for (const EngineEntry& entry : e.entries) {
    if (entry.kind >= settings.kinds.size()) continue;
    Engine& engine = engines[entry.engine];
    // A new start time means a new process with an empty cache: everything learned about the old one is
    // dropped.
    if (entry.started != engine.entry.started || entry.state == EngineState::gone) {
      engine.kept = PrefixTable{};
      engine.pace = Pace{};
      engine.all = Record{};
      engine.by_class.clear();
      engine.cold_credit = 1.0;
      engine.cold_at = now;
      engine.aside_until = engine.full_until = engine.told_at = engine.share_at = -1h;
    }
    engine.entry = entry;
    engine.role = settings.kinds[entry.kind].role;
    engine.memory = settings.kinds[entry.kind].memory;
  }
  cells.clear();
  all = Sizes{};
  for (const auto& [id, engine] : engines) {
    if (!engine.live()) continue;
    for (Sizes* sizes : {&all, &cells[engine.entry.cell]}) {
      (engine.reads() ? sizes->readers : sizes->writers) += std::max(0.01, engine.entry.rating);
    }
  }
  most = {std::max(most.readers, all.readers), std::max(most.writers, all.writers)};
}

double Beliefs::delay(bool reading) const {
  const Trend& trend = delays[reading ? 1 : 0];
  return trend.value * std::exp(-seconds(now - trend.at) / kPaceFade);
}

// Tokens of all fronts queued at an instance: as reported recently, else as is typical for the role. A probe
// waits in the same queue, so a late answer means a long queue.
double Beliefs::queue(const Engine& e) const { return e.work + queue_told(e); }

double Beliefs::queue_told(const Engine& e) const {
  const double fade = std::exp(-seconds(now - e.told_at) / kToldFade);
  const double told = std::lerp(usual_told[e.reads() ? 1 : 0], e.told, fade);
  return e.asked && now - e.asked_at >= kAskWait ? std::max(told, jam) : told;
}

// Share of a prompt found cached at an instance of this home rank, learned per class from reports.
double Beliefs::found_share(std::uint32_t cls, int place) const {
  const auto it = found.find({cls, place});
  return it == found.end() ? kFoundFirst / (1.0 + place) : it->second;
}

void Beliefs::hear(Engine& e, const LoadReport& report) const {
  for (const LoadValue& value : report) {
    if (value.field != ReportField::memory_share || !(value.value >= 0.0)) continue;
    e.told_share = std::min(value.value, 1.0);
    e.share_at = now;
    e.held_then = e.held;
  }
}

double Beliefs::filled(const Engine& e) const {
  if (e.memory <= 0) return 0.0;
  const double since = e.told_share * double(e.memory) + e.held - e.held_then;
  return std::max(e.held, since) / double(e.memory);
}

void Beliefs::learn_found(std::uint32_t cls, int place, Tokens prompt, Tokens told) {
  const double share = found_share(cls, place);
  const double heard = std::clamp(double(told) / double(std::max<Tokens>(1, prompt)), 0.0, 1.0);
  found[{cls, place}] = share + kPaceGain * (heard - share);
}

double Beliefs::move_time(const Engine& from, const Engine& to, Tokens tokens) const {
  const auto cut = cuts.find({from.entry.cell, to.entry.cell});
  if (cut != cuts.end() && now < cut->second) return kCutCost;
  if (from.entry.cell == to.entry.cell) return kNearMove * double(tokens);
  const auto link = links.find(from.entry.cell);
  const double pace = link == links.end() ? kFarMove : link->second.shown(now, kFarMove);
  return double(tokens) * pace;
}

// Median of a role's paces, each faded towards the role's recent pace; cached until the next moment.
double Beliefs::usual_pace(bool readers) const {
  const std::size_t role = readers ? 1 : 0;
  if (usual[role]) return *usual[role];
  std::vector<double> heard;
  for (const auto& [id, e] : engines) {
    if (e.reads() != readers || !e.live() || e.pace.value <= 0.0) continue;
    heard.push_back(e.pace.shown(now, paces[role].value));
  }
  if (heard.empty()) heard.push_back(paces[role].value);
  const auto middle = heard.begin() + std::ptrdiff_t((heard.size() - 1) / 2);
  std::nth_element(heard.begin(), middle, heard.end());
  return usual[role].emplace(*middle);
}

double Beliefs::pace(const Engine& e) const { return e.pace.shown(now, usual_pace(e.reads())); }

void Beliefs::sample(Engine& e, double value) {
  paces[e.reads() ? 1 : 0].add(now, value);
  e.pace.sample(now, usual_pace(e.reads()), value);
  usual = {};
}

double Beliefs::role_doubt(bool reads, std::uint32_t cls) const {
  const auto role = roles.find({reads, cls});
  return role == roles.end() ? kFirstDoubt : role->second.failing(now, kFirstDoubt, 2.0);
}

double Beliefs::doubt(const Engine& e, std::uint32_t cls, double guess) const {
  const auto zone = zones.find(e.entry.zone);
  if (zone != zones.end()) guess = std::max(guess, zone->second.failing(now, kFirstDoubt, 2.0));
  const double peers = guess;
  guess = e.all.failing(now, guess, 1.0);
  const auto own = e.by_class.find(cls);
  if (own != e.by_class.end()) guess = own->second.failing(now, guess, 1.0);
  return peers < kSick && guess < peers + kFirstDoubt ? peers : guess;
}

bool Beliefs::cold(const Engine& e) const {
  return e.entry.started > Time{0} && now - e.entry.started < settings.rules.cold_time;
}

// Requests per second that this front sends to an instance of this role and size, from its recent arrivals.
double Beliefs::usual_rate(const Engine& e) const {
  const double together = std::max(0.01, e.reads() ? all.readers : all.writers);
  return double(arrivals.size()) / kRateWindow * std::max(0.01, e.entry.rating) / together;
}

}  // namespace eiderarch
