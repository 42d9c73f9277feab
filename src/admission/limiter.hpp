// Rate limits of each tenant: requests and tokens per minute by GCRA (ITU-T I.371, virtual scheduling), and
// concurrently open requests. Has no clock: times are passed in; a time before the last one counts as the
// last one.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "eiderarch/router.hpp"

namespace bankmux::admission {

using eiderarch::Duration;
using eiderarch::Time;
using eiderarch::Tokens;

// The limits of one API key; 0: not limited.
struct Limits {
  std::int64_t requests_per_minute = 0;
  std::int64_t tokens_per_minute = 0;
  int open = 0;
};

// The limit that a request exceeds; `too_many_tenants`: the limiter cannot track another tenant.
enum class ExceededLimit { none, requests, tokens, open, too_many_tenants };

// What is left of the limits and the time until the full allowance is available again, for response headers.
struct LimitStatus {
  std::int64_t remaining_requests = 0, remaining_tokens = 0;
  Duration reset_requests{0}, reset_tokens{0};
};

struct Decision {
  ExceededLimit limited = ExceededLimit::none;
  Duration wait{0};  // until the same request would pass if no other came; 0 for `open`
  LimitStatus limit_status;
};

// Applies the limits. State is stored by `tenant`; AdmissionControl passes the ID of an API key.
class Limiter {
 public:
  explicit Limiter(std::size_t max_tenants = 100'000) : max_tenants_(max_tenants) {}

  // Admits a request and reserves its tokens, or returns the limit that it exceeds; a rejected request is not
  // charged. A request for more tokens than the limit allows in a minute passes on a full allowance, and the
  // excess delays later requests.
  Decision take(Time now, const std::string& tenant, const Limits& limits, Tokens reserved);
  // An admitted request has ended: replaces its reservation by the tokens actually used, `used`, of which at
  // most `max_used` are charged.
  void settle(Time now, const std::string& tenant, const Limits& limits, Tokens reserved, Tokens used,
              Tokens max_used);
  // An admitted request never ran: refunds all of it.
  void refund_request(Time now, const std::string& tenant, const Limits& limits, Tokens reserved);

  [[nodiscard]] LimitStatus limit_status(Time now, const std::string& tenant, const Limits& limits) const;
  [[nodiscard]] int open(const std::string& tenant) const;
  [[nodiscard]] std::size_t tenants() const { return tenants_.size(); }

 private:
  // Theoretical arrival times (TAT) of GCRA: when the full allowance is available again.
  struct Tenant {
    Time requests{0}, tokens{0};
    int open = 0;
  };
  [[nodiscard]] Time advance(Time now);
  bool evict_idle(Time now);
  void refund(const std::string& tenant, const Limits& limits, std::int64_t requests, Tokens tokens);

  std::size_t max_tenants_;
  Time now_{0}, next_sweep_{0};
  std::unordered_map<std::string, Tenant> tenants_;
};

}  // namespace bankmux::admission
