// The choice of a prefill instance: home instances, the cost of a prefill, and which instances to probe
// first.
#include "router/impl.hpp"

namespace eiderarch {

// Each prefix has a few home instances by rendezvous hash, and each session one of these. Fronts that do not
// communicate, and that serve a session in turn, thus prefill it where its prefix is cached.
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
  // Cells differ in their mix of roles. The sessions of a cell with many prefill instances prefer its decode
  // instances only up to somewhat more than an even load on these; the rest goes to other cells.
  const std::uint32_t cell = known_.find(home_)->entry.cell;
  const double per_reader = known_.cells[cell].writers / known_.cells[cell].readers;
  const double part = kCrowd * per_reader * known_.all.readers / std::max(1e-9, known_.all.writers);
  if (unit(mix(r.ask.session, cell + 1)) < part) near_ = cell;
}

// Ranks instances of other zones after all of the own zone if crossing zones is expensive.
double Router::Impl::away(const Engine& e) const {
  return e.entry.zone == s_.zone || s_.prices.cross_zone <= kCrossDear ? 0.0 : 1e6;
}

// The cost in seconds: waiting for own work there, prefilling the uncached tokens, moving the KV cache to the
// decode instance.
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

// If own traffic is too sparse to estimate the queues, probes the session's home instance before the choice
// and, if its queue makes that worthwhile, the prefix's other homes and one more, drawn at random. Returns
// true while answers are pending. Without it, a popular prefix queues at one prefill instance beside idle
// ones. Cost: the probe's work, price and time.
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

// Requests a load report if own traffic is too sparse; returns true while it is pending.
bool Router::Impl::listen(Engine& e) {
  if (!blind(e) || s_.report_mode == ReportMode::none) return false;
  probe(e);
  return e.asked && now_ - e.asked_at < kAskWait;
}

// With many fronts, a front that seldom sends to an instance learns little about it from its own load and
// failures.
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

// Transfer time plus the configured price of moving tokens out of their cell, in seconds.
double Router::Impl::move_cost(const Engine& from, const Engine& to, Tokens tokens) const {
  const double price =
      from.entry.cell == to.entry.cell
          ? 0.0
          : (s_.fronts >= kManyFronts ? kFarPriceMany : kFarPricePace) * s_.prices.far_tokens;
  return known_.move_time(from, to, tokens) + price * double(tokens);
}

// 0: home instance of the session, 1: another home of its prefix, 2: any other.
int Router::Impl::place_of(EngineId reader) const {
  if (reader == home_) return 0;
  return std::ranges::count(homes_, reader) > 0 ? 1 : 2;
}

}  // namespace eiderarch
