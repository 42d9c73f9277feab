// Instance lists, instances in slow start, and unusual settings.
#include <gtest/gtest.h>

#include "eiderarch/router.hpp"
#include "front.hpp"

namespace eiderarch::test {
namespace {

TEST(Lists, ADrainingInstanceGetsNoNewRequests) {
  RouterHarness f;
  auto draining = entry(kPrefillA, 0, 0);
  draining.state = EngineState::draining;
  f.handle({ListChanged{ListScope::changes, {draining}}});
  for (RequestId id = 1; id < 6; ++id) {
    f.arrive(id);
    EXPECT_NE(f.sent(), kPrefillA);
  }
}

TEST(Lists, AnInstanceMissingFromACompleteListIsGone) {
  RouterHarness f;
  f.handle({ListChanged{ListScope::complete, {entry(kPrefillB, 0, 1), entry(kDecodeB, 1, 1)}}});
  f.arrive(1);
  EXPECT_EQ(f.sent(), kPrefillB);
}

TEST(Lists, FailuresCorrectAStaleListFromDisk) {
  RouterHarness f;
  f.arrive(1);
  const auto unreachable = f.sent();
  f.end(1, 0, *unreachable, Outcome::not_connected);
  EXPECT_NE(f.sent(), unreachable);
  f.arrive(2);
  EXPECT_NE(f.sent(), unreachable);
}

TEST(Lists, ASubscriptionIsRepeatedAfterAFailure) {
  Settings s = plain_settings();
  s.list_mode = ListMode::on_request;
  RouterHarness f(s);
  EXPECT_EQ(f.logged<Subscribe>(), 1);
  f.handle({ListChanged{ListScope::failed, {}}});
  f.run(2s);
  EXPECT_EQ(f.logged<Subscribe>(), 2);
}

TEST(Lists, WithoutPrefillInstancesTheDecodeInstancePrefills) {
  RouterHarness f(plain_settings(), {entry(kDecodeA, 1, 0)});
  f.arrive(1);
  EXPECT_EQ(f.sent(), kDecodeA);
}

TEST(Lists, ADecodeInstanceThatCannotPrefillNeverDoes) {
  Settings s = plain_settings();
  s.writers_read = false;
  RouterHarness f(s, {entry(kDecodeA, 1, 0)});
  f.arrive(1);
  f.run(7s);
  EXPECT_EQ(f.logged<Send>(), 0);
  EXPECT_EQ(f.logged<Refuse>(), 1);
}

TEST(SlowStart, ANewInstanceGetsFewRequests) {
  Settings s = plain_settings();
  auto list = plain_list();
  RouterHarness f(s, {list[0], list[2], list[3]});
  auto new_entry = entry(kPrefillB, 0, 1);
  new_entry.started = f.now;
  f.handle({ListChanged{ListScope::changes, {new_entry}}});
  int to_new = 0;
  for (RequestId id = 1; id <= 10; ++id) {
    f.arrive(id);
    to_new += f.sent() == kPrefillB;
  }
  EXPECT_LE(to_new, 4);
}

// One of `fronts` fronts learns of a new prefill instance among `warm` others and gets one request per
// second. Returns how many go to the new one.
int sends_to_new_prefill_instance(std::uint32_t fronts, std::uint64_t seed, Duration length, EngineId warm) {
  Settings s = plain_settings();
  s.fronts = fronts;
  s.seed = seed;
  std::vector<EngineEntry> list;
  for (EngineId id = 1; id <= warm + 1; ++id) list.push_back(entry(id, 0, 0));
  for (EngineId id = 6; id <= 10; ++id) list.push_back(entry(id, 1, 0));
  RouterHarness f(s, list);
  list[0].started = f.now;
  f.handle({ListChanged{ListScope::changes, {list[0]}}});
  for (RequestId id = 1; Duration(1s) * std::int64_t(id) <= length; ++id) {
    f.arrive(id, 0, 3000, seed * 100 + id);
    f.run(1s);
  }
  return int(std::count_if(f.log.begin(), f.log.end(), [](const Action& action) {
    const auto* send = std::get_if<Send>(&action);
    return send != nullptr && send->engine == 1;
  }));
}

TEST(SlowStart, ManyFrontsTogetherStayWithinTheBudget) {
  // If each front allowed itself one request at once, 200 would arrive in the first second. A warm prefill
  // instance gets 40 per second here; the new one starts at a share of 0.3 of that and may get three times
  // its share.
  int first_second = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed)
    first_second += sends_to_new_prefill_instance(200, seed, 1s, 4);
  EXPECT_LE(first_second, 36);
}

TEST(SlowStart, FrontsWithFewRequestsWarmANewInstanceTogether) {
  // Each of four hundred fronts has one request in the first second, so none saves up a whole send of its
  // own. The new prefill instance must still get some of the ten that a warm one gets, and no more than its
  // share.
  int sends = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) sends += sends_to_new_prefill_instance(400, seed, 1s, 39);
  EXPECT_GE(sends, 2);
  EXPECT_LE(sends, 9);
}

TEST(SlowStart, AFewFrontsWarmANewInstanceToo) {
  int sends = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) sends += sends_to_new_prefill_instance(2, seed, 8s, 0);
  EXPECT_GT(sends, 5);
}

TEST(Settings, EmptySettingsRefuseEveryRequest) {
  Settings empty;
  Router router(empty);
  RequestArrived r;
  r.id = 1;
  r.deadline = 5s;
  const auto actions = router.handle(1s, {ListChanged{ListScope::disk, plain_list()}, r});
  ASSERT_FALSE(actions.empty());
  EXPECT_TRUE(std::holds_alternative<Refuse>(actions.front()));
}

TEST(Settings, ZerosAndIndexesOutOfRangeDoNoHarm) {
  Settings s = plain_settings();
  s.fronts = 0;
  s.tenants = {{0.0}, {1.0}};
  s.rules = {};
  s.rules.cold_from = 0.0;
  s.kinds[1].memory = 0;
  Router router(s);
  auto odd = entry(99, 42, 7);
  auto list = plain_list();
  list.push_back(odd);
  list[0].started = 1s;
  std::vector<Event> events{ListChanged{ListScope::disk, list}};
  for (RequestId id = 1; id < 20; ++id) {
    RequestArrived r;
    r.id = id;
    r.request_class = std::uint32_t(id % 5);
    r.tenant = std::uint32_t(id % 4);
    r.deadline = 5s;
    r.prompt_tokens = id % 3 == 0 ? 0 : 1000;
    events.push_back(r);
  }
  EXPECT_FALSE(router.handle(1s, events).empty());
}

}  // namespace
}  // namespace eiderarch::test
