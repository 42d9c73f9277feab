// The path of a request: choice of the prefill and decode instance, prefix matches, memory, links between
// cells, load reports.
#include <gtest/gtest.h>

#include <limits>

#include "eiderarch/router.hpp"
#include "front.hpp"

namespace eiderarch::test {
namespace {

TEST(Dispatch, LongRemainderIsPrefilledElsewhereAndFetchedByTheDecodeInstance) {
  RouterHarness f;
  f.arrive(1);
  const auto prefill_instance = f.sent();
  ASSERT_TRUE(is_prefill_instance(prefill_instance));
  f.end(1, 0, *prefill_instance, Outcome::state_held);
  EXPECT_TRUE(is_decode_instance(f.sent()));
}

TEST(Dispatch, ShortPromptIsPrefilledWhereItIsDecoded) {
  RouterHarness f;
  f.arrive(1, 0, 50);
  EXPECT_TRUE(is_decode_instance(f.sent()));
}

TEST(Dispatch, ShortRemainderGoesToTheDecodeInstanceThatCachesTheSession) {
  RouterHarness f;
  const EngineId decode_instance = f.serve(1, 0, 3000, 77);
  f.arrive(2, 0, 3020, 77);
  EXPECT_EQ(f.sent(), decode_instance);
}

TEST(Dispatch, CacheMatchDoesNotOutweighLoadAboveTheMedian) {
  RouterHarness f;
  const EngineId decode_instance = f.serve(1, 0, 3000, 77);
  // Streams pile up at the session's decode instance, so the session's next short turn must go elsewhere or
  // be prefilled again.
  f.arrive(2, 0, 3010, 77);
  ASSERT_EQ(f.sent(), decode_instance);
  f.stream(2, 0, decode_instance);
  f.arrive(3, 0, 3020, 77);
  EXPECT_NE(f.sent(), decode_instance);
}

TEST(Dispatch, EvictedPrefixCorrectsTheTable) {
  RouterHarness f;
  const EngineId decode_instance = f.serve(1, 0, 3000, 77);
  for (RequestId id = 2; id < 4; ++id) {
    f.arrive(id, 0, 3000 + Tokens(id), 77);
    ASSERT_EQ(f.sent(), decode_instance);
    f.stream(id, 0, decode_instance);
    f.end(id, 0, decode_instance, Outcome::served, 0, true);
  }
  // That instance's table was dropped except for what it has just prefilled, so the other session's entry is
  // gone.
  f.arrive(9, 0, 3004, 77);
  EXPECT_EQ(f.sent(), decode_instance);
}

TEST(Prefill, EveryFailedPrefillIsRetriedElsewhere) {
  for (const Outcome outcome :
       {Outcome::error, Outcome::busy, Outcome::timed_out, Outcome::not_connected, Outcome::reset}) {
    RouterHarness f;
    f.arrive(1, 2);
    const auto first = f.sent();
    ASSERT_TRUE(is_prefill_instance(first));
    f.end(1, 0, *first, outcome);
    ASSERT_TRUE(f.sent().has_value());
    EXPECT_NE(f.sent(), first);
  }
}

TEST(Prefill, BrokenConnectionReleasesAPossiblyHeldCache) {
  RouterHarness f;
  f.arrive(1);
  const auto first = f.sent();
  f.end(1, 0, *first, Outcome::reset);
  EXPECT_EQ(f.count<Release>(), 1);
}

TEST(Memory, OwnTokensAtADecodeInstanceStayWithinThisFrontsShare) {
  Settings s = plain_settings();
  // 8,000 for each of two fronts: two prompts of 3,000 with their answers.
  s.kinds[1].memory = 16000;
  RouterHarness f(s);
  int sends = 0;
  for (RequestId id = 1; id <= 8; ++id) {
    f.arrive(id);
    if (const auto prefill_instance = f.sent()) {
      f.end(id, 0, *prefill_instance, Outcome::state_held);
      ++sends;
    }
  }
  EXPECT_EQ(sends, 4);
}

TEST(Links, ASlowLinkKeepsPrefillInTheDecodeInstancesCell) {
  RouterHarness f(plain_settings(), {entry(kPrefillA, 0, 0), entry(kPrefillB, 0, 1), entry(kDecodeA, 1, 0)});
  // While the near prefill instance is busy the far one is used, until first tokens after its transfers come
  // late.
  int far_before = 0;
  for (RequestId id = 1; id <= 4; ++id) {
    f.arrive(id);
    far_before += f.sent() == kPrefillB;
  }
  ASSERT_GT(far_before, 0);
  for (RequestId id = 1; id <= 4; ++id) {
    for (const EngineId prefill_instance : {kPrefillA, kPrefillB})
      f.end(id, 0, prefill_instance, Outcome::state_held);
  }
  for (RequestId id = 1; id <= 4; ++id) f.handle({StreamStarted{id, 1, kDecodeA, 4s}});
  int far_after = 0;
  for (RequestId id = 11; id <= 13; ++id) {
    f.arrive(id);
    far_after += f.sent() == kPrefillB;
  }
  EXPECT_EQ(far_after, 0);
}

Settings probe_settings() {
  Settings s = plain_settings();
  s.fronts = 100;
  s.limits.probes = true;
  s.report_mode = ReportMode::probes;
  return s;
}

// A front that has received a list other than the one saved on disk.
struct ListedFront : RouterHarness {
  ListedFront() : RouterHarness(probe_settings()) {
    handle({ListChanged{ListScope::complete, plain_list()}});
  }
};

// Instances that were sent a probe.
std::vector<EngineId> probed_instances(const std::vector<Action>& actions) {
  std::vector<EngineId> engines;
  for (const Action& action : actions) {
    if (const auto* probe = std::get_if<Probe>(&action)) engines.push_back(probe->engine);
  }
  return engines;
}

// Guards against a front among many that chooses without reports where only request answers carry them: it
// refused one in five requests under light load.
TEST(Reports, ProbesAreSentAlsoWhereAnswersCarryReports) {
  for (const ReportMode mode : {ReportMode::none, ReportMode::answers}) {
    Settings s = probe_settings();
    s.report_mode = mode;
    RouterHarness f(s);
    f.handle({ListChanged{ListScope::complete, plain_list()}});
    f.arrive(1);
    EXPECT_EQ(probed_instances(f.log).empty(), mode == ReportMode::none);
    EXPECT_EQ(f.sent().has_value(), mode == ReportMode::none);
  }
}

ProbeEnded report(EngineId engine, double ktokens) {
  return {engine, Outcome::served, 2ms, {{ReportField::queued_ktokens, ktokens}}};
}

TEST(Reports, AnOverloadedHomeInstanceIsAvoidedForAnIdleOne) {
  ListedFront f;
  const std::vector<EngineId> home = probed_instances(f.arrive(1));
  ASSERT_EQ(home.size(), 1U);
  EXPECT_FALSE(f.sent());
  const std::vector<EngineId> other = probed_instances(f.handle({report(home[0], 90.0)}));
  ASSERT_EQ(other.size(), 1U);
  EXPECT_NE(other[0], home[0]);
  f.handle({report(other[0], 0.0)});
  EXPECT_EQ(f.sent(), other[0]);
}

TEST(Reports, OnlyTheHomeInstanceIsProbedIfItIsIdle) {
  ListedFront f;
  const std::vector<EngineId> home = probed_instances(f.arrive(1));
  ASSERT_EQ(home.size(), 1U);
  f.handle({report(home[0], 0.0)});
  EXPECT_EQ(f.sent(), home[0]);
  EXPECT_EQ(f.logged<Probe>(), 1);
}

TEST(Reports, AFrontThatSendsOftenSendsNoProbes) {
  ListedFront f;
  for (RequestId id = 1; id <= 20; ++id) f.arrive(id);
  const int before = f.logged<Probe>();
  for (RequestId id = 21; id <= 40; ++id) f.arrive(id);
  EXPECT_EQ(f.logged<Probe>(), before);
}

TEST(Reports, AMissingProbeAnswerDelaysARequestOnlyBriefly) {
  ListedFront f;
  f.arrive(1);
  f.run(200ms);
  EXPECT_EQ(f.logged<Send>(), 1);
}

TEST(Reports, InvalidValuesAreIgnored) {
  ListedFront f;
  const std::vector<EngineId> home = probed_instances(f.arrive(1));
  ASSERT_EQ(home.size(), 1U);
  f.handle({report(home[0], std::numeric_limits<double>::quiet_NaN())});
  f.run(100ms);
  EXPECT_EQ(f.logged<Send>(), 1);
  f.arrive(2);
  f.handle({report(home[0], -5.0)});
  f.run(100ms);
  EXPECT_EQ(f.logged<Send>(), 2);
}

TEST(Reports, WithAListFromDiskInstancesThatAreGoneCostNoAttempt) {
  RouterHarness f(probe_settings());
  f.arrive(1);
  std::set<EngineId> gone;
  std::size_t answered = 0;
  for (int round = 0; round < 50 && f.logged<Send>() == 0; ++round) {
    std::vector<Event> ends;
    for (const EngineId engine : probed_instances({f.log.begin() + std::ptrdiff_t(answered), f.log.end()})) {
      const bool runs = engine == kPrefillB || engine == kDecodeB;
      if (!runs) gone.insert(engine);
      ends.push_back(ProbeEnded{engine, runs ? Outcome::served : Outcome::not_connected, 1ms, {}});
    }
    answered = f.log.size();
    ends.empty() ? f.run(20ms) : void(f.handle(ends));
  }
  EXPECT_FALSE(gone.empty());
  EXPECT_EQ(f.sent(), kPrefillB);
}

TEST(HomeInstances, IndependentFrontsPrefillASessionAtTheSameInstance) {
  std::vector<EngineEntry> list;
  for (EngineId id = 1; id <= 40; ++id) list.push_back(entry(id, id <= 20 ? 0U : 1U, std::uint32_t(id % 8)));
  std::set<EngineId> prefill_instances;
  int split_sessions = 0;
  for (Key session = 1; session <= 30; ++session) {
    std::set<EngineId> of_session;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      Settings s = plain_settings();
      s.fronts = 100;
      s.seed = seed;
      RouterHarness f(s, list);
      f.arrive(1, 0, 3000, session, 9, 2000);
      of_session.insert(f.sent().value_or(0));
    }
    split_sessions += of_session.size() > 1;
    prefill_instances.insert(of_session.begin(), of_session.end());
  }
  EXPECT_EQ(split_sessions, 0);
  // The sessions of one prefix use several home instances, but not every prefill instance.
  EXPECT_GE(prefill_instances.size(), 2U);
  EXPECT_LE(prefill_instances.size(), 4U);
}

// The prefill takes most of the time left to the aim; for a shorter one a reservation saves less than the
// call costs.
Settings short_aim_settings() {
  Settings s = plain_settings();
  s.claim_ahead = true;
  for (RequestClass& c : s.classes) c.aim = 100ms;
  return s;
}

TEST(Reservation, NoneIsMadeIfThePrefillIsShortComparedWithTheAim) {
  Settings s = plain_settings();
  s.claim_ahead = true;
  RouterHarness f(s);
  f.arrive(1);
  ASSERT_TRUE(f.sent().has_value());
  EXPECT_EQ(f.count<ClaimWriter>(), 0);
}

TEST(Reservation, IsMadeWithThePrefillAndUsed) {
  const Settings s = short_aim_settings();
  RouterHarness f(s);
  f.arrive(1);
  const auto prefill_instance = f.sent();
  ASSERT_EQ(f.count<ClaimWriter>(), 1);
  EngineId decode_instance = 0;
  for (const Action& a : f.last) {
    if (const auto* claim = std::get_if<ClaimWriter>(&a)) decode_instance = claim->engine;
  }
  f.handle({PlaceAnswer{1, 0, decode_instance, true}});
  f.end(1, 0, *prefill_instance, Outcome::state_held);
  EXPECT_EQ(f.sent(), decode_instance);
}

TEST(Reservation, IsReleasedWhenTheRequestEnds) {
  const Settings s = short_aim_settings();
  RouterHarness f(s);
  f.arrive(1);
  const auto prefill_instance = f.sent();
  f.handle({RequestGone{1}});
  f.end(1, 0, *prefill_instance, Outcome::cancelled, 0, true);
  EXPECT_GE(f.logged<Release>(), 1);
}

// Serves requests at intervals of `interval` whose prefills take `prefill_time`; returns how many of the last
// forty get an attempt.
int admitted_of_last_forty(Duration prefill_time, Duration interval) {
  constexpr RequestId kWarmUpRequests = 30, kCountedRequests = 40;
  Settings settings = plain_settings();
  settings.writers_read = false;  // decode instances cannot bypass the prefill instances
  RouterHarness f(settings);
  int admitted = 0;
  for (RequestId id = 1; id <= kWarmUpRequests + kCountedRequests; ++id) {
    f.arrive(id);
    const auto first = f.sent();
    admitted += id > kWarmUpRequests && first.has_value();
    if (is_prefill_instance(first)) {
      f.handle({AttemptEnded{id, 0, *first, Outcome::state_held, prefill_time, false, 0, {}}});
      f.end(id, 1, f.sent().value_or(0), Outcome::served, 0, true);
    } else if (first) {
      f.end(id, 0, *first, Outcome::served, 0, true);
    }
    f.run(interval);
  }
  return admitted;
}

// The requests' aim is 2.15 s.
TEST(Admission, PrefillsThatTakeLessThanHalfOfTheAimAreAllAdmitted) {
  EXPECT_EQ(admitted_of_last_forty(800ms, 1s), 40);
}

TEST(Admission, PrefillsLongerThanTheAimAdmitOnlyAPart) { EXPECT_LT(admitted_of_last_forty(4s, 4s), 30); }

}  // namespace
}  // namespace eiderarch::test
