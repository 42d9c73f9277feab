// Token bucket for each tenant, which measures recent requests against its share. It only counts; src/router
// decides what follows.
#pragma once

#include <map>

#include "estimates/figures.hpp"

namespace eiderarch {

// Requests that a tenant may be ahead of its share at one front.
constexpr double kTenantBurst = 3.0;

class Quotas {
 public:
  // Counts one request; returns whether it is within the tenant's share of `rate` requests per second at this
  // front.
  bool within(std::uint32_t tenant, double rate, Time now) {
    const double depth = std::max(rate, kTenantBurst);
    Bucket& b = buckets_.try_emplace(tenant, Bucket{depth, now}).first->second;
    b.tokens = std::min(depth, b.tokens + rate * seconds(now - b.updated_at));
    b.updated_at = now;
    if (b.tokens < 1.0) return false;
    b.tokens -= 1.0;
    return true;
  }

 private:
  struct Bucket {
    double tokens = 0.0;
    Time updated_at{0};
  };
  std::map<std::uint32_t, Bucket> buckets_;
};

}  // namespace eiderarch
