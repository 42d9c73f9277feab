// Retries: what a request class permits, the retry budget, and how failures change the choice of an instance.
#include <gtest/gtest.h>

#include "eiderarch/router.hpp"
#include "front.hpp"

namespace eiderarch::test {
namespace {

// A small deployment: one front, two instances that prefill and decode, few arrivals.
RouterHarness single_front() {
  Settings s = plain_settings();
  s.fronts = 1;
  return RouterHarness(s, {entry(kMixed, 2, 0), entry(kMixed + 1, 2, 0)});
}

TEST(RetryBudget, AnIdleInstanceIsTriedThoughTheBudgetIsSpent) {
  RouterHarness f = single_front();
  for (RequestId id = 1; id <= 8; ++id) {
    f.arrive(id);
    const auto first = f.sent();
    ASSERT_TRUE(first.has_value());
    f.end(id, 0, *first, Outcome::error);
    const auto second = f.sent();
    ASSERT_TRUE(second.has_value()) << "request " << id << " waits while an instance is idle";
    EXPECT_NE(second, first);
    f.stream(id, 1, *second);
    f.end(id, 1, *second, Outcome::served, 0, true);
  }
}

TEST(RetryBudget, WithEveryInstanceTriedAndTheBudgetSpentTheRequestIsRefusedAtOnce) {
  RouterHarness f = single_front();
  RequestId id = 0;
  for (int failed = 0; failed < 6; ++failed) {
    f.arrive(++id);
    for (int attempt = 0; f.count<Refuse>() == 0; ++attempt) {
      ASSERT_LT(attempt, 4);
      ASSERT_TRUE(f.sent().has_value()) << "request " << id << " is kept waiting";
      f.end(id, attempt, *f.sent(), Outcome::error);
    }
  }
}

TEST(RetryBudget, BusyInstancesGetNoRetriesBeyondIt) {
  RouterHarness f = single_front();
  // Streams run at both instances, so neither is idle.
  for (RequestId id = 100; id < 104; ++id) {
    f.arrive(id);
    f.stream(id, 0, *f.sent());
  }
  int retries = 0;
  for (RequestId id = 1; id <= 20; ++id) {
    f.arrive(id);
    if (!f.sent()) continue;
    f.end(id, 0, *f.sent(), Outcome::error);
    if (!f.sent()) continue;
    ++retries;
    f.end(id, 1, *f.sent(), Outcome::error);
  }
  EXPECT_LE(retries, 2 + 24 / 5 + 1);
}

TEST(RetryBudget, LimitsResumedAnswersAndThoseClosestToCompletionComeFirst) {
  Settings settings = plain_settings();
  settings.resume = true;
  RouterHarness f(settings, {entry(kMixed, 2, 0), entry(kMixed + 1, 2, 1)});
  for (RequestId id = 200; id < 204; ++id) {
    f.arrive(id);
    f.stream(id, 0, *f.sent());
  }
  std::vector<Event> lost;
  for (RequestId id = 1; id <= 100; ++id) {
    RequestArrived r;
    r.id = id;
    r.prompt_tokens = 3000;
    r.max_output = Tokens(10 * (101 - id));
    r.deadline = f.now + 3s;
    r.resumed = true;
    r.lost_at = kMixed;
    lost.push_back(r);
  }
  std::vector<RequestId> sent;
  for (const Action& action : f.handle(lost)) {
    if (const auto* send = std::get_if<Send>(&action)) {
      sent.push_back(send->id);
      EXPECT_NE(send->engine, kMixed);  // not where the answer broke off, while there is another
    }
  }
  // Four arrivals have saved a few retries; lost answers add none.
  ASSERT_FALSE(sent.empty());
  EXPECT_LE(sent.size(), 3U);
  EXPECT_EQ(sent.front(), 100U);
  f.run(4s);
  EXPECT_EQ(f.logged<Send>(), 4 + int(sent.size()));
  EXPECT_EQ(f.logged<Refuse>(), 100 - int(sent.size()));
}

TEST(Decode, AnUnsafeRequestThatMayHaveRunIsFailed) {
  for (const Outcome outcome : {Outcome::error, Outcome::timed_out, Outcome::reset, Outcome::cancelled}) {
    RouterHarness f;
    f.arrive(1, 2);
    f.end(1, 0, *f.sent(), Outcome::state_held);
    f.end(1, 1, *f.sent(), outcome);
    EXPECT_EQ(f.count<Fail>(), 1);
    EXPECT_EQ(f.count<Send>(), 0);
    EXPECT_EQ(f.count<Release>(), 1);
  }
}

TEST(Decode, AnUnsafeRequestThatDidNotRunIsRetried) {
  for (const Outcome outcome : {Outcome::busy, Outcome::not_connected}) {
    RouterHarness f;
    f.arrive(1, 2);
    f.end(1, 0, *f.sent(), Outcome::state_held);
    const auto first = f.sent();
    f.end(1, 1, *first, outcome);
    EXPECT_TRUE(is_decode_instance(f.sent()));
    EXPECT_NE(f.sent(), first);
  }
}

// Guards against a second prefill at an instance of the other zone, which would send a copy of the request
// outside its group.
TEST(Decode, ARequestThatMayHaveRunIsPrefilledAgainOnlyInItsGroupAndWindow) {
  Settings s = plain_settings();
  s.writers_read = false;
  s.limits.max_attempts = 8;
  for (Key session = 1; session <= 20; ++session) {
    RouterHarness f(s);
    f.arrive(1, 1, 3000, session);
    EXPECT_EQ(std::get<Send>(f.last.front()).by, 0s);  // no repeat window has started
    f.end(1, 0, *f.sent(), Outcome::state_held);
    const EngineId decode_instance = *f.sent();
    const Time window = f.now + 3s;
    f.run(100ms);
    f.end(1, 1, decode_instance, Outcome::reset);
    ASSERT_EQ(f.sent(), decode_instance);
    EXPECT_EQ(std::get<Send>(f.last.front()).by, window);
    // The KV cache is gone, so the prompt is prefilled again.
    f.end(1, 2, decode_instance, Outcome::busy, 1);
    const EngineId prefill_instance = decode_instance == kDecodeA ? kPrefillA : kPrefillB;
    ASSERT_EQ(f.sent(), prefill_instance);
    f.now = window - 10ms;
    f.end(1, 3, prefill_instance, Outcome::error);
    EXPECT_FALSE(f.sent());
    EXPECT_EQ(f.count<Fail>(), 1);
  }
}

TEST(Decode, AnAttemptThatDidNotRunDoesNotRestrictTheGroup) {
  RouterHarness f(plain_settings(), {entry(kPrefillA, 0, 0), entry(kDecodeA, 1, 0), entry(kDecodeB, 1, 1)});
  f.arrive(1, 1);
  f.end(1, 0, kPrefillA, Outcome::state_held);
  const EngineId first = *f.sent();
  f.end(1, 1, first, Outcome::not_connected);
  EXPECT_EQ(f.sent(), first == kDecodeA ? kDecodeB : kDecodeA);
}

TEST(Decode, AKeyedRequestIsRetriedOnlyInItsCell) {
  RouterHarness f;
  f.arrive(1, 1);
  f.end(1, 0, *f.sent(), Outcome::state_held);
  const auto first = f.sent();
  f.end(1, 1, *first, Outcome::error);
  EXPECT_TRUE(!f.sent() || f.sent() == first);
  f.run(7s);
  EXPECT_EQ(f.logged<Refuse>(), 0);
}

TEST(Decode, AMissingCacheIsReleasedAndThePromptPrefilledAgain) {
  RouterHarness f;
  f.arrive(1);
  f.end(1, 0, *f.sent(), Outcome::state_held);
  f.end(1, 1, *f.sent(), Outcome::busy, 1);
  EXPECT_EQ(f.count<Release>(), 1);
  EXPECT_TRUE(is_prefill_instance(f.sent()));
}

TEST(Decode, AnotherInstanceFetchesTheCacheIfTheFirstIsFull) {
  RouterHarness f;
  f.arrive(1);
  f.end(1, 0, *f.sent(), Outcome::state_held);
  const auto first = f.sent();
  f.end(1, 1, *first, Outcome::busy);
  EXPECT_TRUE(is_decode_instance(f.sent()));
  EXPECT_NE(f.sent(), first);
  EXPECT_EQ(f.count<Release>(), 0);
}

TEST(Decode, AnInstanceLostDuringThePrefillIsReplaced) {
  RouterHarness f;
  f.arrive(1);
  const auto prefill_instance = f.sent();
  auto gone = entry(kDecodeA, 1, 0);
  gone.state = EngineState::gone;
  f.handle({ListChanged{ListScope::changes, {gone}}});
  f.end(1, 0, *prefill_instance, Outcome::state_held);
  EXPECT_EQ(f.sent(), kDecodeB);
}

// Number of retries when every prefill fails, for requests that arrive at intervals of `gap` for ten seconds.
int retries_when_all_fail(Duration gap) {
  RouterHarness f;
  int arrived = 0;
  for (Duration at{0}; at < 10s; at += gap, ++arrived) {
    f.arrive(RequestId(arrived) + 1);
    for (int attempt = 0; f.sent() && attempt < 4; ++attempt) {
      f.end(RequestId(arrived) + 1, attempt, *f.sent(), Outcome::reset);
    }
    f.handle({RequestGone{RequestId(arrived) + 1}});
    f.now += gap;
  }
  return f.logged<Send>() - arrived;
}

TEST(Retries, SavedRetriesFollowThisFrontsArrivals) {
  // A front with one request per second saves a few retries, not the 20 that hundreds of fronts would spend
  // at once.
  EXPECT_LE(retries_when_all_fail(1s), 2 + 3);
  EXPECT_GE(retries_when_all_fail(100ms), 12);
}

TEST(Health, ADecodeInstanceFailingOneClassIsAvoidedForThatClassOnly) {
  RouterHarness f(plain_settings(), {entry(kPrefillA, 0, 0), entry(kDecodeA, 1, 0), entry(kDecodeB, 1, 0)});
  // One decode instance never answers class 0; both answer class 1.
  RequestId id = 1;
  std::optional<EngineId> failing_instance;
  int repeated_failures = 0;
  for (int i = 0; i < 12; ++i, ++id) {
    f.arrive(id, i % 2 == 0 ? 0U : 1U, 100);
    ASSERT_TRUE(is_decode_instance(f.sent()));
    const EngineId to = *f.sent();
    if (i % 2 == 0 && (!failing_instance || to == *failing_instance)) {
      repeated_failures += failing_instance.has_value();
      failing_instance = to;
      f.end(id, 0, to, Outcome::error);
      if (f.sent()) f.end(id, 1, *f.sent(), Outcome::served, 0, true);
    } else {
      f.stream(id, 0, to);
      f.end(id, 0, to, Outcome::served, 0, true);
    }
    f.run(200ms);
  }
  EXPECT_EQ(repeated_failures, 0);
}

// An instance that fails at once is always idle, so it would get, and lose, every request while the other is
// full.
TEST(Health, ADecodeInstanceThatFailsAtOnceIsNotPreferredForBeingIdle) {
  Settings s = plain_settings();
  s.kinds[1].memory = 400;  // the working decode instance has memory for one request of this front
  RouterHarness f(s);
  int failed = 0;
  for (RequestId id = 1; id <= 30; ++id) {
    f.arrive(id, 2, 100);  // unsafe, prefilled where it is decoded
    if (f.sent() != kDecodeB) continue;
    ++failed;
    f.end(id, 0, kDecodeB, Outcome::error);
    f.run(20ms);
  }
  EXPECT_GE(failed, 1);
  EXPECT_LE(failed, 4) << "it is still chosen for being idle";
}

TEST(Cancellation, ASilentPrefillInstanceIsReplaced) {
  RouterHarness f;
  for (RequestId id = 1; id < 9; ++id) f.serve(id);
  f.arrive(20);
  const auto silent_instance = f.sent();
  f.run(1200ms);
  EXPECT_GE(f.logged<Cancel>(), 1);
  f.end(20, 0, *silent_instance, Outcome::cancelled);
  EXPECT_TRUE(f.sent().has_value());
  EXPECT_NE(f.sent(), silent_instance);
}

// Attempts are reported to take 50 ms, so 900 ms is many times what another prefill instance would need.
TEST(Cancellation, APrefillIsNotCancelledEarlyInALongAim) {
  for (const Duration aim : {Duration{600ms}, Duration{4s}}) {
    Settings settings = plain_settings();
    for (RequestClass& cls : settings.classes) cls.aim = aim;
    RouterHarness f(settings);
    for (RequestId id = 1; id < 9; ++id) f.serve(id);
    f.arrive(20);
    ASSERT_TRUE(is_prefill_instance(f.sent()));
    f.run(900ms);
    EXPECT_EQ(f.logged<Cancel>(), aim < 1s ? 1 : 0);
    f.run(1300ms);
    EXPECT_EQ(f.logged<Cancel>(), 1) << "past half of its aim a silent prefill instance is still abandoned";
  }
}

TEST(Cancellation, AnUnsafeDecodeAttemptIsNeverCancelled) {
  RouterHarness f;
  for (RequestId id = 1; id < 9; ++id) f.serve(id);
  f.arrive(20, 2);
  f.end(20, 0, *f.sent(), Outcome::state_held);
  f.run(5s);
  EXPECT_EQ(f.logged<Cancel>(), 0);
}

}  // namespace
}  // namespace eiderarch::test
