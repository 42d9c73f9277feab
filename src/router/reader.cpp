// The choice of a reader: home readers, what a read costs there, and whom to ask for a report first.
#include "router/impl.hpp"

namespace eiderarch {

// A beginning has a few home readers by rendezvous hash and a session one of these, so that fronts which
// never talk, and to which a session comes in turn, read it where it is kept.
void Router::Impl::find_home(const Request& r) {
  std::vector<std::pair<double, EngineId>> ranks;
  for (const auto& [id, e] : known_.engines) {
    if (!e.reads() || !e.live() || now_ < e.aside_until) continue;
    ranks.emplace_back(away(e) - rank(r.ask.prefix != 0 ? r.ask.prefix : r.ask.session, e), id);
  }
  home_ = 0;
  homes_.clear();
  near_.reset();
  if (ranks.empty()) return;
  const auto homes = ranks.begin() + std::ptrdiff_t(std::min(kHomes, ranks.size()));
  std::partial_sort(ranks.begin(), homes, ranks.end());
  for (auto it = ranks.begin(); it != homes; ++it) {
    const Engine& e = *known_.find(it->second);
    it->first = away(e) - rank(r.ask.session, e);
    homes_.push_back(it->second);
  }
  home_ = std::min_element(ranks.begin(), homes)->second;
  // Cells differ in their mix of roles: one rich in readers gives the part away that its writers, loaded
  // somewhat over an even share, could not bear.
  const std::uint32_t cell = known_.find(home_)->entry.cell;
  const double per_reader = known_.cells[cell].writers / known_.cells[cell].readers;
  const double part = kCrowd * per_reader * known_.all.readers / std::max(1e-9, known_.all.writers);
  if (unit(mix(r.ask.session, cell + 1)) < part) near_ = cell;
}

// Ranks readers of other zones after all of the own, where a crossing is dear.
double Router::Impl::away(const Engine& e) const {
  return e.entry.zone == s_.zone || s_.prices.cross_zone <= kCrossDear ? 0.0 : 1e6;
}

// In seconds: the wait for own work there, the read of what is not kept, the move to the writer.
Engine* Router::Impl::choose_reader(const Request& r, const Engine& writer) {
  Engine* best = nullptr;
  double best_cost = 0.0;
  const double usual_doubt = known_.role_doubt(true, r.ask.request_class);
  for (Engine* e : candidates(r, true)) {
    double cost = read_cost(*e, writer, r) + kDoubtCost * known_.doubt(*e, r.ask.request_class, usual_doubt);
    if (place_of(e->entry.engine) == 2) cost *= kAway;
    if (best != nullptr && cost >= best_cost) continue;
    best = e;
    best_cost = cost;
  }
  return best;
}

// Where own sends tell too little of the queues, the session's home reader is asked before the choice and,
// if its queue makes it worth it, the other homes and one more, drawn. True while answers are awaited.
// Symptom: a hot beginning waits at one reader beside idle ones. Harm: a probe's work, price and time.
bool Router::Impl::ask(const Request& r, const Engine& writer) {
  bool awaited = false;
  Engine* const home = known_.find(home_);
  if (home != nullptr && usable(*home, r) && listen(*home)) return true;
  const double known = home == nullptr || !usable(*home, r) ? 1e9 : read_cost(*home, writer, r);
  Engine* other = nullptr;
  for (auto& [id, e] : known_.engines) {
    if (!e.reads() || id == home_ || !usable(e, r) || read_cost(e, writer, r, true) >= known) continue;
    if (place_of(id) < 2) {
      awaited |= listen(e);
    } else if (other == nullptr ||
               mix(s_.seed + r.ask.id, id) < mix(s_.seed + r.ask.id, other->entry.engine)) {
      other = &e;
    }
  }
  if (other != nullptr) awaited |= listen(*other);
  return awaited;
}

// Asks for a report where own sends tell too little; true while one is awaited.
bool Router::Impl::listen(Engine& e) {
  if (!blind(e) || s_.report_mode == ReportMode::none) return false;
  probe(e);
  return e.asked && now_ - e.asked_at < kAskWait;
}

// Among many fronts one that seldom sends to a server learns little of it from its own load and failures.
bool Router::Impl::blind(const Engine& e) const {
  return s_.limits.probes && s_.fronts >= kManyFronts && known_.usual_rate(e) < kSeldom;
}

void Router::Impl::probe(Engine& e) {
  if (e.asked || now_ - std::max(e.told_at, e.asked_at) < kReportAge) return;
  actions_.emplace_back(Probe{e.entry.engine});
  e.asked = true;
  e.asked_at = now_;
}

double Router::Impl::read_cost(const Engine& e, const Engine& writer, const Request& r, bool idle) const {
  const double share = known_.found_share(r.ask.request_class, place_of(e.entry.engine));
  const Tokens found = std::max(kept(e, r), Tokens(share * double(r.ask.prompt_tokens)));
  const double read = kBaseWork + double(r.ask.prompt_tokens - found);
  return known_.pace(e) * ((idle ? 0.0 : known_.queue(e)) + read) +
         move_cost(e, writer, r.ask.prompt_tokens) +
         (e.entry.zone == s_.zone ? 0.0 : kCrossPrice * s_.prices.cross_zone);
}

// The time of a move, and what it costs by the settings' price for tokens moved out of their cell.
double Router::Impl::move_cost(const Engine& from, const Engine& to, Tokens tokens) const {
  const double price =
      from.entry.cell == to.entry.cell
          ? 0.0
          : (s_.fronts >= kManyFronts ? kFarPriceMany : kFarPricePace) * s_.prices.far_tokens;
  return known_.move_time(from, to, tokens) + price * double(tokens);
}

// 0: home reader of its session, 1: another home of its beginning, 2: elsewhere.
int Router::Impl::place_of(EngineId reader) const {
  if (reader == home_) return 0;
  return std::ranges::count(homes_, reader) > 0 ? 1 : 2;
}

}  // namespace eiderarch
