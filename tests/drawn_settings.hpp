// Random settings: every allowed combination, over and beyond the ranges of the known configurations.
#pragma once

#include <random>

#include "eiderarch/router.hpp"

namespace eiderarch::test {

class RandomSource {
 public:
  explicit RandomSource(std::uint32_t seed) : rng_(seed) {}
  int pick(int low, int high) { return low + int(rng_() % std::uint32_t(high - low + 1)); }
  bool chance(double p) { return double(rng_() % 100000) < p * 100000; }
  double between(double low, double high) { return low + (high - low) * double(rng_() % 100001) / 100000; }
  Duration time(int low_ms, int high_ms) { return Duration(1000 * pick(low_ms, high_ms)); }

 private:
  std::mt19937 rng_;
};

// Kind 0 prefills, 1 decodes, 2 (not in every configuration) does both.
inline Settings random_settings(std::uint32_t seed) {
  RandomSource draw(seed);
  Settings s;
  s.seed = seed;
  s.zone = std::uint32_t(draw.pick(0, 2));
  const int fronts[] = {1, 2, 4, 8, 60, 300};
  s.fronts = std::uint32_t(fronts[draw.pick(0, 5)]);
  s.classes.resize(std::size_t(draw.pick(1, 4)));
  for (RequestClass& c : s.classes) {
    c.effect = Effect(draw.pick(0, 2));
    c.group = RepeatGroup(draw.pick(0, 2));
    c.repeat_window = draw.time(100, 8000);
    c.aim = draw.time(200, 3000);
    c.aim_per_kilotoken = draw.time(0, 150);
    c.token_aim = draw.time(20, 120);
    c.deadline = c.aim + draw.time(100, 12000);
    c.worth = draw.between(0.1, 5.0);
    c.late_worth = draw.between(0.0, 1.0);
  }
  s.kinds = {{Role::reader, draw.pick(0, 300) * 1000}, {Role::writer, draw.pick(0, 220) * 1000}};
  if (draw.chance(0.5)) s.kinds.push_back({Role::both, draw.pick(0, 270) * 1000});
  s.tenants.resize(std::size_t(draw.pick(0, 5)));
  for (Tenant& t : s.tenants) t.quota_per_second = draw.chance(0.2) ? 0.0 : draw.between(0.1, 20.0);
  s.over_share_worth = draw.between(0.0, 1.0);
  s.limits.cancel = draw.chance(0.7);
  s.limits.probes = draw.chance(0.7);
  s.limits.second_copies = draw.chance(0.5);
  s.limits.retry_advice = draw.chance(0.7);
  s.limits.max_attempts = draw.pick(1, 8);
  s.limits.max_retry_advice = draw.time(0, 4000);
  s.rules.drain_grace = draw.time(0, 3000);
  s.rules.cold_time = draw.time(0, 20000);
  s.rules.cold_from = draw.between(0.05, 1.0);
  s.rules.overload_factor = draw.between(1.0, 4.0);
  s.rules.fall_time = draw.time(200, 3000);
  s.rules.release_within = draw.time(100, 1500);
  s.rules.ask_within = draw.time(2000, 10000);
  s.prices.cross_zone = draw.between(0.0, 0.05);
  s.prices.waste = draw.between(0.0, 0.3);
  s.prices.late_fail = draw.between(0.0, 0.1);
  s.prices.probe = draw.between(0.0, 0.01);
  s.prices.far_tokens = draw.between(0.0, 0.2);
  s.list_mode = draw.chance(0.3) ? ListMode::on_request : ListMode::pushed;
  s.report_mode = ReportMode(draw.pick(0, 2));
  s.rating = Rating(draw.pick(0, 3));
  s.claim_ahead = draw.chance(0.6);
  s.resume = draw.chance(0.5);
  s.writers_read = draw.chance(0.6);
  return s;
}

// A load report as an instance may send it, occasionally with invalid values.
inline LoadReport random_report(RandomSource& draw) {
  LoadReport report;
  const double invalid[] = {-1.0, 1e300, -1e300, 0.0};
  for (const ReportField field : {ReportField::in_flight, ReportField::queued, ReportField::memory_share,
                                  ReportField::queued_ktokens}) {
    if (draw.chance(0.3)) continue;
    const double largest = field == ReportField::memory_share ? 1.0 : 60.0;
    report.push_back({field, draw.chance(0.05) ? invalid[draw.pick(0, 3)] : draw.between(0.0, largest)});
  }
  return report;
}

}  // namespace eiderarch::test
