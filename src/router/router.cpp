// Processes the events of one moment in order of arrival, then dispatches the waiting requests.
#include <utility>

#include "router/impl.hpp"

namespace eiderarch {

std::vector<Action> Router::Impl::handle(Time now, const std::vector<Event>& events) {
  now_ = now;
  estimates_.set_time(now);
  if (!started_ && settings_.list_mode == ListMode::on_request) actions_.emplace_back(Subscribe{});
  started_ = true;
  for (const Event& event : events) std::visit([this](const auto& e) { on(e); }, event);
  dispatch_waiting();
  std::erase_if(requests_, [](const auto& p) {
    return p.second.stage == Stage::over && !p.second.has_active_attempt();
  });
  const auto waiting = [](const auto& p) { return p.second.stage < Stage::streaming; };
  const bool waits = std::ranges::any_of(requests_, waiting);
  if (!sweep_armed_ && (waits || resubscribe_at_.has_value())) {
    actions_.emplace_back(SetTimer{kSweepTag, now_ + kSweepPeriod});
    sweep_armed_ = true;
  }
  return std::exchange(actions_, {});
}

std::vector<EngineId> Router::Impl::set_aside(Time now) const {
  std::vector<EngineId> ids;
  for (const auto& [id, e] : estimates_.instances) {
    if (e.live() && (now < e.ejected_until || now < e.busy_until)) ids.push_back(id);
  }
  return ids;
}

Router::Router(const Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

std::vector<Action> Router::handle(Time now, const std::vector<Event>& events) {
  return impl_->handle(now, events);
}

std::vector<EngineId> Router::set_aside(Time now) const { return impl_->set_aside(now); }

}  // namespace eiderarch
