// What an instance holds for a request, a KV cache or a reservation, and how it is handed over or released.
#include "router/impl.hpp"

namespace eiderarch {

// Counts a request at its planned decode instance while its prefill runs; `on` adds it, else removes it.
void Router::Impl::count_planned(Request& r, bool on) {
  Instance* decode_instance = estimates_.find(r.decode_instance);
  if (r.planned == on || decode_instance == nullptr) return;
  r.planned = on;
  decode_instance->active_requests += on ? 1 : -1;
  decode_instance->resident_tokens += on ? footprint(r) : -footprint(r);
}

void Router::Impl::on(const PlaceAnswer& e) {
  const auto it = requests_.find(e.id);
  if (it == requests_.end() || !it->second.reservation_requested || e.engine != it->second.decode_instance)
    return;
  it->second.reserved = e.held;
}

// No later attempt can fetch the KV cache any more; if the running one fails, the prompt is prefilled again.
void Router::Impl::on(const HeldReleased& e) {
  const auto it = requests_.find(e.id);
  if (it == requests_.end()) return;
  Request& r = it->second;
  r.cache_holder = 0;
  r.reserved = r.reservation_requested = false;
}

// The KV cache goes to the planned decode instance or, if that one has failed, to another. If none is
// available now, the KV cache is released at once instead of occupying memory while the request waits.
void Router::Impl::hand_over(Request& r) {
  Instance* planned = estimates_.find(r.decode_instance);
  const bool tried = std::ranges::count(r.tried, r.decode_instance) > 0;
  if (planned != nullptr && !tried && send(r, *planned, false)) return;
  count_planned(r, false);
  const Instance* cache_holder = estimates_.find(r.cache_holder);
  Instance* other = r.reserved ? nullptr : choose_decode_instance(r, cache_holder);
  if (other != nullptr && send(r, *other, false)) return;
  requeue(r);
}

void Router::Impl::requeue(Request& r) {
  count_planned(r, false);
  release_held(r);
  r.stage = Stage::waiting;
  waiting_.push_back(r.arrival.id);  // dispatched again or ended within this call of handle()
}

void Router::Impl::release_held(Request& r) {
  // A prefill whose connection broke off may have completed without its result arriving here.
  if (r.reservation_requested || r.had_prefill()) actions_.emplace_back(Release{r.arrival.id});
  r.cache_holder = 0;
  r.reserved = r.reservation_requested = false;
}

void Router::Impl::finish(Request& r) {
  count_planned(r, false);
  // A prefill that ends after its request leaves a held KV cache behind.
  if (r.had_prefill() && r.stage != Stage::streaming) actions_.emplace_back(Release{r.arrival.id});
  r.cache_holder = 0;
  r.stage = Stage::over;
}

}  // namespace eiderarch
