// Preference for near instances: the own zone comes first where crossing zones is expensive and its instances
// report free memory, and prefill stays in the decode instance's cell where moving tokens between cells is
// expensive.
#include <gtest/gtest.h>

#include <map>

#include "front.hpp"

namespace eiderarch::test {
namespace {

constexpr EngineId kFarDecodeA = 41, kFarDecodeB = 42, kFarPrefill = 43;

// The front's zone 0 has a prefill and a decode instance, zone 1 a prefill and two decode instances.
RouterHarness two_zones(double cross_zone_price, double far_tokens = 0.0, std::uint32_t fronts = 2) {
  Settings s = plain_settings();
  s.fronts = fronts;
  s.prices.cross_zone = cross_zone_price;
  s.prices.far_tokens = far_tokens;
  s.report_mode = ReportMode::answers;
  return RouterHarness(s, {entry(kPrefillA, 0, 0), entry(kDecodeA, 1, 0), entry(kFarPrefill, 0, 1),
                           entry(kFarDecodeA, 1, 1), entry(kFarDecodeB, 1, 1)});
}

// Serves a short request at the decode instance, whose answer reports its memory share.
void serve_and_report(RouterHarness& f, RequestId id, EngineId decode_instance, double share) {
  f.arrive(id, 0, 50);
  for (; f.sent() != decode_instance; f.arrive(++id, 0, 50)) {  // the others stay open elsewhere
    ASSERT_LT(id, 50U);
  }
  f.stream(id, 0, decode_instance);
  f.handle({AttemptEnded{
      id, 0, decode_instance, Outcome::served, 50ms, true, 0, {{ReportField::memory_share, share}}}});
}

// How many of ten short requests that stay open go to the own zone's decode instance.
int own_zone_requests(RouterHarness& f) {
  int near = 0;
  for (RequestId id = 100; id < 110; ++id) {
    f.arrive(id, 0, 50);
    near += f.sent() == kDecodeA;
  }
  return near;
}

TEST(Nearness, ADecodeInstanceOfTheOwnZoneWithFreeMemoryComesFirst) {
  RouterHarness f = two_zones(0.02);
  serve_and_report(f, 1, kDecodeA, 0.3);
  EXPECT_EQ(own_zone_requests(f), 10) << "each of the others pays for crossing zones";
}

TEST(Nearness, AFullDecodeInstanceOfTheOwnZoneSharesWithTheOthers) {
  RouterHarness f = two_zones(0.02);
  serve_and_report(f, 1, kDecodeA, 0.95);
  EXPECT_LT(own_zone_requests(f), 6);
}

TEST(Nearness, AnOldMemoryReportIsIgnored) {
  RouterHarness f = two_zones(0.02);
  serve_and_report(f, 1, kDecodeA, 0.3);
  f.run(2s);
  EXPECT_LT(own_zone_requests(f), 6);
}

TEST(Nearness, LoadIsSpreadWhereCrossingZonesIsCheap) {
  RouterHarness f = two_zones(0.005);
  serve_and_report(f, 1, kDecodeA, 0.3);
  EXPECT_LT(own_zone_requests(f), 6);
}

TEST(Nearness, OwnRequestsSinceTheReportCountAsMemoryUsed) {
  RouterHarness f = two_zones(0.02);
  serve_and_report(f, 1, kDecodeA, 0.5);
  int near = 0;
  for (RequestId id = 100; id < 160; ++id) {
    f.arrive(id, 0, 1000);  // about 1,050 tokens each in a memory of 100,000
    if (const auto prefill_instance = f.sent();
        is_prefill_instance(prefill_instance) || prefill_instance == kFarPrefill) {
      f.end(id, 0, *prefill_instance, Outcome::state_held);
    }
    near += f.sent() == kDecodeA;
  }
  EXPECT_GT(near, 20);
  EXPECT_LT(near, 45) << "from a memory share of 0.8 the others get their part";
}

TEST(Nearness, HomeInstancesAreInTheOwnZoneWhereCrossingIsExpensive) {
  for (const double cross_zone_price : {0.02, 0.0}) {
    RouterHarness f = two_zones(cross_zone_price);
    int near = 0;
    for (RequestId id = 1; id <= 20; ++id) {
      f.arrive(id, 0, 3000);
      const auto prefill_instance = f.sent();
      ASSERT_TRUE(prefill_instance == kPrefillA || prefill_instance == kFarPrefill);
      near += prefill_instance == kPrefillA;
      f.end(id, 0, *prefill_instance, Outcome::state_held);
      f.stream(id, 1, *f.sent());
      f.end(id, 1, *f.sent(), Outcome::served, 0, true);
    }
    EXPECT_EQ(near == 20, cross_zone_price > 0.0) << near;
  }
}

// No memory reports at all: only the price counts, against a load that is otherwise spread evenly.
TEST(Nearness, WithoutReportsCrossingZonesCountsByItsPrice) {
  int near[2] = {0, 0};
  for (const int expensive : {0, 1}) {
    RouterHarness f = two_zones(expensive == 1 ? 0.02 : 0.0);
    near[expensive] = own_zone_requests(f);
  }
  EXPECT_LE(near[0], 4);
  EXPECT_GT(near[1], near[0]);
}

// How many of twelve concurrent prefills are in another cell than their decode instance.
int cross_cell_prefills(RouterHarness f) {
  int far = 0;
  std::map<RequestId, EngineId> prefill_instance;
  for (RequestId id = 1; id <= 12; ++id) {
    f.arrive(id, 0, 2000);
    if (f.sent()) prefill_instance[id] = *f.sent();
  }
  for (const auto& [id, at] : prefill_instance) {
    f.end(id, 0, at, Outcome::state_held);
    far += (at == kPrefillA) != (f.sent() == kDecodeA);
  }
  return far;
}

TEST(Nearness, PrefillStaysInTheDecodeInstancesCellWhereMovesAreExpensive) {
  EXPECT_LT(cross_cell_prefills(two_zones(0.0, 0.1)), cross_cell_prefills(two_zones(0.0, 0.0)));
}

// With many fronts a session's home instance seldom shares its decode instance's cell, and a prefill where
// nothing is cached costs more than the move.
TEST(Nearness, WithManyFrontsMovesBetweenCellsCountLittle) {
  EXPECT_GT(cross_cell_prefills(two_zones(0.0, 0.1, 60)), cross_cell_prefills(two_zones(0.0, 0.1)));
}

}  // namespace
}  // namespace eiderarch::test
