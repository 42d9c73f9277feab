// How requests end, and what instances hold for them.
#include <gtest/gtest.h>

#include "eiderarch/router.hpp"
#include "front.hpp"

namespace eiderarch::test {
namespace {

TEST(Ending, DeadlineOfAWaitingRequestIsAnswered) {
  RouterHarness f(plain_settings(), {});
  f.arrive(1);
  f.run(7s);
  EXPECT_EQ(f.logged<Refuse>() + f.logged<Fail>(), 1);
}

TEST(Ending, ATimeOutAtTheDeadlineIsAnswered) {
  RouterHarness f;
  f.arrive(1, 2);
  f.end(1, 0, *f.sent(), Outcome::state_held);
  const auto decode_instance = f.sent();
  f.run(6s);
  f.end(1, 1, *decode_instance, Outcome::timed_out);
  EXPECT_EQ(f.count<Fail>(), 1);
}

TEST(Ending, AClientThatLeavesCancelsItsAttemptAndReleasesTheCache) {
  RouterHarness f;
  f.arrive(1);
  const auto prefill_instance = f.sent();
  f.handle({RequestGone{1}});
  EXPECT_EQ(f.count<Cancel>(), 1);
  f.end(1, 0, *prefill_instance, Outcome::state_held, 0, true);
  EXPECT_EQ(f.count<Release>(), 1);
  EXPECT_EQ(f.count<Send>(), 0);
}

TEST(Ending, AClientThatLeavesAfterTheFinalAnswerIsIgnored) {
  RouterHarness f(plain_settings(), {});
  f.arrive(1);
  f.run(7s);
  f.handle({RequestGone{1}});
  EXPECT_EQ(f.count<Refuse>() + f.count<Fail>() + f.count<Cancel>(), 0);
}

TEST(Ending, UnknownIdsAreIgnored) {
  RouterHarness f;
  Router router(plain_settings());
  const auto actions = router.handle(
      1s, {AttemptEnded{}, StreamStarted{}, RequestGone{9}, PlaceAnswer{}, TimerFired{99}, ProbeEnded{}});
  EXPECT_TRUE(actions.empty());
}

TEST(Timers, AFrontWithOnlyStreamsSetsNoTimers) {
  RouterHarness f;
  f.arrive(1);
  f.end(1, 0, *f.sent(), Outcome::state_held);
  f.stream(1, 1, *f.sent());
  f.run(1s);
  const int timers = f.logged<SetTimer>();
  f.run(10s);
  EXPECT_EQ(f.logged<SetTimer>(), timers);
}

// Guards against a KV cache that is held too long: three unreachable decode instances in a row took 250 ms
// each to fail and kept it for 0.75 s.
TEST(HeldCache, IsReleasedInTimeIfDecodeInstancesAreUnreachable) {
  RouterHarness f;  // 300 ms to release it
  f.arrive(1);
  f.end(1, 0, *f.sent(), Outcome::state_held);
  const auto decode_instance = f.sent();
  ASSERT_TRUE(is_decode_instance(decode_instance));
  f.now += 250ms;
  f.handle({AttemptEnded{1, 1, *decode_instance, Outcome::not_connected, 250ms, false, 0, {}}});
  EXPECT_GE(f.count<Release>(), 1);
  EXPECT_FALSE(is_decode_instance(f.sent())) << "another unreachable instance would take 250 ms more";
}

TEST(HeldCache, GoesToAnotherDecodeInstanceAtOnceIfTheFirstAnswersOrFailsQuickly) {
  for (const auto& [outcome, after] :
       {std::pair{Outcome::not_connected, 2ms}, std::pair{Outcome::busy, 250ms}}) {
    RouterHarness f;
    f.arrive(1);
    f.end(1, 0, *f.sent(), Outcome::state_held);
    const auto decode_instance = f.sent();
    f.now += after;
    f.handle({AttemptEnded{1, 1, *decode_instance, outcome, after, false, 0, {}}});
    EXPECT_EQ(f.count<Release>(), 0);
    ASSERT_TRUE(is_decode_instance(f.sent()));
    EXPECT_NE(f.sent(), decode_instance);
  }
}

}  // namespace
}  // namespace eiderarch::test
