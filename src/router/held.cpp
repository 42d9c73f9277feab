// What is held for a request, at a reader or a writer, and how it is handed over or let go.
#include "router/impl.hpp"

namespace eiderarch {

// Counts a request at the writer that it is to go to while it is read.
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

// Nothing is held any more that a further attempt could fetch: after the one that is out it is read again.
void Router::Impl::on(const HeldReleased& e) {
  const auto it = requests_.find(e.id);
  if (it == requests_.end()) return;
  Request& r = it->second;
  r.holder = 0;
  r.place = r.claimed = false;
}

// The state goes to the writer chosen at first, or, if that one has turned bad, to another. With none at
// hand now it is let go at once rather than left pinned, and the request waits.
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
  waiting_.push_back(r.ask.id);  // judged before this moment is over
}

void Router::Impl::let_go(Request& r) {
  // A read that broke off may have ended there all the same, its news lost on the way.
  if (r.claimed || r.was_read()) actions_.emplace_back(Release{r.ask.id});
  r.holder = 0;
  r.place = r.claimed = false;
}

void Router::Impl::close(Request& r) {
  plan(r, false);
  // A read that ends after its request has left a state behind.
  if (r.was_read() && r.stage != Stage::streaming) actions_.emplace_back(Release{r.ask.id});
  r.holder = 0;
  r.stage = Stage::over;
}

}  // namespace eiderarch
