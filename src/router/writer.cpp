// The choice of a decode instance.
#include "router/impl.hpp"

namespace eiderarch {

// Score: cached share of the prompt minus load. Only instances with at most the median number of this front's
// requests are compared, so a cache match never outweighs a load above the median. The rendezvous hash breaks
// ties.
Engine* Router::Impl::choose_writer(const Request& r, const Engine* holder) {
  std::vector<Engine*> pool = candidates(r, false);
  // An instance that fails at once is always idle and would get every request while the others are full, so
  // one that fails mostly is excluded while others work. Cost: a request waits, or is refused with retry
  // advice, that would have had a small chance there.
  const double usual_doubt = known_.role_doubt(false, r.ask.request_class);
  const auto hopeless = [&](const Engine& e) {
    return known_.doubt(e, r.ask.request_class, usual_doubt) > kHopeless;
  };
  const bool some_work = std::ranges::any_of(known_.engines, [&](const auto& p) {
    const Engine& e = p.second;
    return !e.reads() && e.live() && untried(e, r) && repeat_allowed(e, r) && !hopeless(e);
  });
  if (some_work) std::erase_if(pool, [&](const Engine* e) { return hopeless(*e); });
  if (pool.empty()) return nullptr;
  // For a held KV cache, the distance is priced by its transfer cost instead.
  const bool near =
      holder == nullptr && std::ranges::any_of(pool, [&](const Engine* e) { return near_room(*e); });
  if (near) std::erase_if(pool, [&](const Engine* e) { return !near_room(*e); });
  std::vector<int> counts;
  double mean = 0.0;
  for (const Engine* e : pool) {
    counts.push_back(e->out);
    mean += e->held / double(pool.size());
  }
  const auto middle = counts.begin() + std::ptrdiff_t((counts.size() - 1) / 2);
  std::nth_element(counts.begin(), middle, counts.end());
  const double median = known_.usual_pace(false);
  // With less than one request per instance the mean says nothing.
  mean = std::max(mean, footprint(r));
  Engine* best = nullptr;
  double best_score = 0.0;
  for (Engine* e : pool) {
    const double failing = known_.doubt(*e, r.ask.request_class, usual_doubt);
    const bool proven = usual_doubt >= kSick && failing < usual_doubt / 2.0;
    if (e->out > *middle + (proven ? kProvenMore : 0) || (!near && !memory_room(*e, r))) continue;
    if (s_.fronts <= 1 && !affordable(*e, r)) continue;
    const double match = double(kept(*e, r)) / double(std::max<Tokens>(1, r.ask.prompt_tokens));
    double score = kMatchWeight * match - kLoadWeight * e->held / mean - kDoubtWeight * failing;
    score -= kSlowWeight * known_.pace(*e) / median;
    if (e->entry.zone != s_.zone) score -= kZonePrice * s_.prices.cross_zone;
    if (now_ - e->told_at < kTrustTold) score -= known_.pace(*e) * known_.queue_told(*e) / seconds(r.cls.aim);
    if (holder == nullptr && near_ == e->entry.cell) score += kNearWeight;
    if (holder != nullptr) score -= move_cost(*holder, *e, r.ask.prompt_tokens);
    if (best != nullptr && !better(score, *e, best_score, *best, r)) continue;
    best = e;
    best_score = score;
  }
  return best;
}

// Where crossing zones is expensive, instances of the own zone come first while their reports show free
// memory. Without it, all requests are served in time, yet every second one pays for a crossing and a long
// transfer. Without reports this rule has no effect; a load peak in a zone fills its own instances up to
// kLocalMemoryLimit.
bool Router::Impl::near_room(const Engine& e) const {
  return s_.prices.cross_zone > kCrossDear && e.entry.zone == s_.zone && now_ - e.share_at < kRoomAge &&
         known_.filled(e) < kRoomFull && known_.pace(e) < kRoomPace * known_.usual_pace(e.reads());
}

// Ties are spread by session, weighted by instance size: a popular prefix does not draw all fronts to one
// decode instance.
bool Router::Impl::better(double score, const Engine& e, double best, const Engine& b, const Request& r) {
  if (std::abs(score - best) > kTie) return score > best;
  return rank(r.ask.session, e) > rank(r.ask.session, b);
}

bool Router::Impl::memory_room(const Engine& e, const Request& r) const {
  if (e.memory <= 0 || e.held <= 0.0) return true;
  const double share = fill_ * double(e.memory) / double(std::max(1U, s_.fronts));
  return e.held + footprint(r) <= share;
}

}  // namespace eiderarch
