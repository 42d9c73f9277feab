#include "admission/limiter.hpp"

#include <algorithm>
#include <chrono>

namespace bankmux::admission {

using namespace std::chrono_literals;

namespace {

constexpr Duration kWindow = 1min;       // largest burst: what the limit allows in one minute
constexpr Duration kSweepInterval = 1s;  // minimum time between sweeps of a full table
constexpr Tokens kMaxTokens = 1'000'000'000;

// The time in which `count` accrues at a rate of `per_minute`.
Duration time_cost(std::int64_t count, std::int64_t per_minute) {
  return Duration(std::int64_t(double(kWindow.count()) * double(count) / double(per_minute)));
}

std::int64_t remaining(Time now, Time arrival, std::int64_t per_minute) {
  if (per_minute <= 0) return 0;
  const Duration room = kWindow - std::max(arrival - now, Duration{0});
  return std::max<std::int64_t>(
      std::int64_t(double(room.count()) * double(per_minute) / double(kWindow.count())), 0);
}

// The time until a cost of `price` fits. A price above one minute's allowance would never fit, so it waits
// only until the allowance is full.
Duration wait_for(Time now, Time arrival, Duration price) {
  return std::max(std::max(arrival, now) + std::min(price, Duration(kWindow)) - kWindow - now, Duration{0});
}

}  // namespace

Time Limiter::advance(Time now) { return now_ = std::max(now_, now); }

// Drops tenants without open requests whose allowance is full again; they need no state.
bool Limiter::evict_idle(Time now) {
  if (tenants_.size() < max_tenants_) return true;
  // A sweep of the whole table takes milliseconds and thousands of new tenants may arrive at once, so sweeps
  // are rate-limited to keep the event loop responsive.
  if (now < next_sweep_) return false;
  next_sweep_ = now + kSweepInterval;
  std::erase_if(tenants_, [now](const auto& entry) {
    return entry.second.open == 0 && entry.second.requests <= now && entry.second.tokens <= now;
  });
  return tenants_.size() < max_tenants_;
}

Decision Limiter::take(Time caller_time, const std::string& tenant, const Limits& limits, Tokens reserved) {
  const Time now = advance(caller_time);
  reserved = std::clamp<Tokens>(reserved, 0, kMaxTokens);
  const auto known = tenants_.find(tenant);
  const Tenant before = known != tenants_.end() ? known->second : Tenant{};
  const auto reject = [&](ExceededLimit why, Duration wait) {
    return Decision{why, wait, limit_status(now, tenant, limits)};
  };
  if (limits.open > 0 && before.open >= limits.open) return reject(ExceededLimit::open, Duration{0});
  if (limits.requests_per_minute > 0) {
    const Duration wait = wait_for(now, before.requests, time_cost(1, limits.requests_per_minute));
    if (wait > Duration{0}) return reject(ExceededLimit::requests, wait);
  }
  if (limits.tokens_per_minute > 0) {
    const Duration wait = wait_for(now, before.tokens, time_cost(reserved, limits.tokens_per_minute));
    if (wait > Duration{0}) return reject(ExceededLimit::tokens, wait);
  }
  if (known == tenants_.end() && !evict_idle(now)) return reject(ExceededLimit::too_many_tenants, kWindow);
  Tenant& entry = tenants_[tenant];
  if (limits.requests_per_minute > 0) {
    entry.requests = std::max(entry.requests, now) + time_cost(1, limits.requests_per_minute);
  }
  if (limits.tokens_per_minute > 0) {
    entry.tokens = std::max(entry.tokens, now) + time_cost(reserved, limits.tokens_per_minute);
  }
  ++entry.open;
  return {ExceededLimit::none, Duration{0}, limit_status(now, tenant, limits)};
}

void Limiter::refund(const std::string& tenant, const Limits& limits, std::int64_t requests, Tokens tokens) {
  const auto it = tenants_.find(tenant);
  if (it == tenants_.end()) return;
  if (limits.requests_per_minute > 0) it->second.requests -= time_cost(requests, limits.requests_per_minute);
  if (limits.tokens_per_minute > 0) it->second.tokens -= time_cost(tokens, limits.tokens_per_minute);
  it->second.open = std::max(it->second.open - 1, 0);
}

void Limiter::settle(Time caller_time, const std::string& tenant, const Limits& limits, Tokens reserved,
                     Tokens used, Tokens max_used) {
  (void)advance(caller_time);
  reserved = std::clamp<Tokens>(reserved, 0, kMaxTokens);
  // An instance's usage figure may be missing, wrong or hostile.
  used = std::clamp<Tokens>(used, 0, std::clamp<Tokens>(max_used, 0, kMaxTokens));
  refund(tenant, limits, 0, reserved - used);
}

void Limiter::refund_request(Time caller_time, const std::string& tenant, const Limits& limits,
                             Tokens reserved) {
  (void)advance(caller_time);
  refund(tenant, limits, 1, std::clamp<Tokens>(reserved, 0, kMaxTokens));
}

LimitStatus Limiter::limit_status(Time caller_time, const std::string& tenant, const Limits& limits) const {
  const Time now = std::max(now_, caller_time);
  const auto it = tenants_.find(tenant);
  const Tenant entry = it != tenants_.end() ? it->second : Tenant{};
  return {remaining(now, entry.requests, limits.requests_per_minute),
          remaining(now, entry.tokens, limits.tokens_per_minute), std::max(entry.requests - now, Duration{0}),
          std::max(entry.tokens - now, Duration{0})};
}

int Limiter::open(const std::string& tenant) const {
  const auto it = tenants_.find(tenant);
  return it != tenants_.end() ? it->second.open : 0;
}

}  // namespace bankmux::admission
