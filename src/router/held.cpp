// What an instance holds for a request, a KV cache or a reservation, and how it is handed over or released.
#include "router/impl.hpp"

namespace eiderarch {

// Counts a request at its planned decode instance while its prefill runs; `on` adds it, else removes it.
void Router::Impl::plan(Request& r, bool on) {
  Engine* writer = known_.find(r.writer);
  if (r.planned == on || writer == nullptr) return;
  r.planned = on;
  writer->out += on ? 1 : -1;
  writer->held += on ? footprint(r) : -footprint(r);
}

void Router::Impl::on(const PlaceAnswer& e) {
  const auto it = requests_.find(e.id);
  if (it == requests_.end() || !it->second.claimed || e.engine != it->second.writer) return;
  it->second.place = e.held;
}

// No later attempt can fetch the KV cache any more; if the running one fails, the prompt is prefilled again.
void Router::Impl::on(const HeldReleased& e) {
  const auto it = requests_.find(e.id);
  if (it == requests_.end()) return;
  Request& r = it->second;
  r.holder = 0;
  r.place = r.claimed = false;
}

// The KV cache goes to the planned decode instance or, if that one has failed, to another. If none is
// available now, the KV cache is released at once instead of occupying memory while the request waits.
void Router::Impl::hand_over(Request& r) {
  Engine* planned = known_.find(r.writer);
  const bool tried = std::ranges::count(r.tried, r.writer) > 0;
  if (planned != nullptr && !tried && send(r, *planned, false)) return;
  plan(r, false);
  const Engine* holder = known_.find(r.holder);
  Engine* other = r.place ? nullptr : choose_writer(r, holder);
  if (other != nullptr && send(r, *other, false)) return;
  wait_again(r);
}

void Router::Impl::wait_again(Request& r) {
  plan(r, false);
  let_go(r);
  r.stage = Stage::waiting;
  waiting_.push_back(r.ask.id);  // dispatched again or ended within this call of handle()
}

void Router::Impl::let_go(Request& r) {
  // A prefill whose connection broke off may have completed without its result arriving here.
  if (r.claimed || r.was_read()) actions_.emplace_back(Release{r.ask.id});
  r.holder = 0;
  r.place = r.claimed = false;
}

void Router::Impl::close(Request& r) {
  plan(r, false);
  // A prefill that ends after its request leaves a held KV cache behind.
  if (r.was_read() && r.stage != Stage::streaming) actions_.emplace_back(Release{r.ask.id});
  r.holder = 0;
  r.stage = Stage::over;
}

}  // namespace eiderarch
