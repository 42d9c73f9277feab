// Arrival, waiting and dispatch: choose the decode instance, prefill there if few tokens are uncached, else
// choose a prefill instance.
#include "router/impl.hpp"

namespace eiderarch {

void Router::Impl::on(const RequestArrived& e) {
  if (requests_.contains(e.id)) return;
  Request r;
  r.ask = e;
  r.ask.resumed &= s_.resume;
  if (e.request_class < s_.classes.size()) r.cls = s_.classes[e.request_class];
  r.arrived = now_;
  r.aim = now_ + r.cls.aim + micros(seconds(r.cls.aim_per_kilotoken) * double(e.prompt_tokens) / 1000.0);
  r.priority = r.cls.worth * (within_share(e.tenant) ? 1.0 : s_.over_share_worth);
  if (r.lost()) r.tried = {e.lost_at};  // the instance where its answer broke off
  // Resumed answers that are closest to completion come first.
  if (r.ask.resumed) r.priority *= 1.0 + 1.0 / (1.0 + double(e.max_output));
  known_.arrivals.emplace_back(now_, r.priority);
  while (seconds(now_ - known_.arrivals.front().first) > Beliefs::kRateWindow) known_.arrivals.pop_front();
  const double most = std::clamp(double(known_.arrivals.size()), kRetryLeast, kRetryBurst);
  retries_ = std::min(most, retries_ + (r.lost() ? 0.0 : kRetryShare));
  requests_.emplace(e.id, std::move(r));
  waiting_.push_back(e.id);
}

// Requests above a tenant's share get a low priority and wait behind the others.
bool Router::Impl::within_share(std::uint32_t tenant) {
  if (tenant >= s_.tenants.size() || s_.tenants[tenant].quota_per_second <= 0.0) return true;
  return quotas_.within(tenant, s_.tenants[tenant].quota_per_second / std::max(1U, s_.fronts), now_);
}

void Router::Impl::dispatch_waiting() {
  if (waiting_.empty()) return;
  std::vector<Request*> left;
  for (const RequestId id : std::exchange(waiting_, {})) {
    const auto it = requests_.find(id);
    if (it != requests_.end() && it->second.stage == Stage::waiting) left.push_back(&it->second);
  }
  std::ranges::stable_sort(left, std::ranges::greater(), &Request::priority);
  std::erase_if(left, [this](Request* r) { return possible(*r) ? dispatch(*r) : give_up(*r); });
  for (Request* r : left) {
    // Late work delays work that would be on time, so a request that can no longer meet its aim is refused
    // before its client waits in vain. Cost: a late answer that would still have earned `late_worth` is lost.
    const bool too_late =
        now_ + micros(known_.usual_pace(false) * kBaseWork) >= r->aim || now_ + kReclaim >= r->ask.deadline;
    if (!too_late || !give_up(*r)) waiting_.push_back(r->ask.id);
  }
}

// True if waiting can still lead to an attempt: attempts are left and some listed instance may decode the
// answer.
bool Router::Impl::possible(const Request& r) const {
  if (r.ask.request_class >= s_.classes.size() || int(r.attempts.size()) >= s_.limits.max_attempts)
    return false;
  // With a single front, the retry budget spent and every instance tried, only new arrivals could refill the
  // budget.
  const bool spent = s_.fronts <= 1 && r.again() && retries_ < 1.0;
  bool read = false, write = false;
  for (const auto& [id, e] : known_.engines) {
    if (!e.live() || (spent && !untried(e, r))) continue;
    if (!repeat_allowed(e, r)) continue;
    read |= e.reads() || s_.writers_read || e.role == Role::both;
    write |= !e.reads();
  }
  return read && write;
}

bool Router::Impl::dispatch(Request& r) {
  find_home(r);
  Engine* writer = choose_writer(r, nullptr);
  if (writer == nullptr || unproven(*writer)) return false;
  const Tokens remainder = r.ask.prompt_tokens - kept(*writer, r);
  const bool can_read = s_.writers_read || writer->role == Role::both;
  const bool short_one = remainder <= kLocalRemainder || r.ask.prompt_tokens <= kShortPrompt;
  const bool last_try = int(r.attempts.size()) + 2 > s_.limits.max_attempts;
  if (can_read && (short_one || last_try)) return send(r, *writer, false);
  if (!last_try && ask(r, *writer)) return false;
  Engine* reader = last_try ? nullptr : choose_reader(r, *writer);
  // If no prefill instance is available, or prefill there costs far more than local prefill (uncached
  // prefixes, load peaks, slow links), a decode instance that can prefill does so. Cost: its running answers
  // slow down.
  const double local = known_.pace(*writer) * (known_.queue_told(*writer) + kBaseWork + double(remainder));
  const double detour = (writer->role == Role::both ? kDetourBoth : kDetourWriter) * local;
  if (can_read && (reader == nullptr ? home_ == 0 : read_cost(*reader, *writer, r) > detour)) {
    if (listen(*writer)) return false;
    if (now_ - writer->told_at < kTrustTold && local > kOnTime * seconds(r.aim - now_)) return false;
    return send(r, *writer, false);
  }
  if (reader == nullptr || unproven(*reader)) return false;
  const double cost = read_cost(*reader, *writer, r);
  if (reader->work <= 0.0 && !admitted(r, *reader, cost)) return give_up(r);
  // A request that would be late behind other requests in an instance's queue waits here instead, where it is
  // ordered by priority.
  if ((reader->work > 0.0 || now_ - reader->told_at < kTrustTold) && cost > kOnTime * seconds(r.aim - now_))
    return false;
  r.writer = writer->entry.engine;
  if (!send(r, *reader, true)) return false;
  plan(r, true);
  if (s_.claim_ahead && cost > kClaimFrom * seconds(r.aim - now_)) {
    actions_.emplace_back(ClaimWriter{r.ask.id, r.writer});
    r.claimed = true;
  }
  return true;
}

}  // namespace eiderarch
