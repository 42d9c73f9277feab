// How requests end, and what is held for them.
#include <gtest/gtest.h>

#include "eiderarch/router.hpp"
#include "front.hpp"

namespace eiderarch::test {
namespace {

TEST(Ending, DeadlineOfAWaitingRequestIsAnswered) {
  Front f(plain_settings(), {});
  f.arrive(1);
  f.run(7s);
  EXPECT_EQ(f.logged<Refuse>() + f.logged<Fail>(), 1);
}

TEST(Ending, TrimmedTimeOutAtTheDeadlineIsAnswered) {
  Front f;
  f.arrive(1, 2);
  f.end(1, 0, *f.sent(), Outcome::state_held);
  const auto writer = f.sent();
  f.run(6s);
  f.end(1, 1, *writer, Outcome::timed_out);
  EXPECT_EQ(f.count<Fail>(), 1);
}

TEST(Ending, GoneClientIsCalledOffAndItsStateLetGo) {
  Front f;
  f.arrive(1);
  const auto reader = f.sent();
  f.give({RequestGone{1}});
  EXPECT_EQ(f.count<Cancel>(), 1);
  f.end(1, 0, *reader, Outcome::state_held, 0, true);
  EXPECT_EQ(f.count<Release>(), 1);
  EXPECT_EQ(f.count<Send>(), 0);
}

TEST(Ending, GoneInTheBatchInWhichItEndedIsPassedOver) {
  Front f(plain_settings(), {});
  f.arrive(1);
  f.run(7s);
  f.give({RequestGone{1}});
  EXPECT_EQ(f.count<Refuse>() + f.count<Fail>() + f.count<Cancel>(), 0);
}

TEST(Ending, UnknownIdsArePassedOver) {
  Front f;
  Router router(plain_settings());
  const auto actions = router.handle(
      1s, {AttemptEnded{}, StreamStarted{}, RequestGone{9}, PlaceAnswer{}, TimerFired{99}, ProbeEnded{}});
  EXPECT_TRUE(actions.empty());
}

TEST(Timers, AFrontWithNothingButStreamsIsIdle) {
  Front f;
  f.arrive(1);
  f.end(1, 0, *f.sent(), Outcome::state_held);
  f.stream(1, 1, *f.sent());
  f.run(1s);
  const int timers = f.logged<SetTimer>();
  f.run(10s);
  EXPECT_EQ(f.logged<SetTimer>(), timers);
}

// Three writers that had vanished took no connection for 250 ms each, and the state was pinned for 0.75 s.
TEST(Held, AStateIsLetGoOfBeforeWritersThatCannotBeReachedHaveHadItForTooLong) {
  Front f;  // 300 ms to let go
  f.arrive(1);
  f.end(1, 0, *f.sent(), Outcome::state_held);
  const auto writer = f.sent();
  ASSERT_TRUE(writes(writer));
  f.now += 250ms;
  f.give({AttemptEnded{1, 1, *writer, Outcome::not_connected, 250ms, false, 0, {}}});
  EXPECT_GE(f.count<Release>(), 1);
  EXPECT_FALSE(writes(f.sent())) << "it would take 250 ms more to find out";
}

TEST(Held, AStateIsHandedToAnotherWriterAtOnceWhereTheFirstSaysNoAtOnce) {
  for (const auto& [outcome, after] :
       {std::pair{Outcome::not_connected, 2ms}, std::pair{Outcome::busy, 250ms}}) {
    Front f;
    f.arrive(1);
    f.end(1, 0, *f.sent(), Outcome::state_held);
    const auto writer = f.sent();
    f.now += after;
    f.give({AttemptEnded{1, 1, *writer, outcome, after, false, 0, {}}});
    EXPECT_EQ(f.count<Release>(), 0);
    ASSERT_TRUE(writes(f.sent()));
    EXPECT_NE(f.sent(), writer);
  }
}

}  // namespace
}  // namespace eiderarch::test
