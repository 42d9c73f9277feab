// Scripted lives of requests, one test for each way a life can go.
#include "eiderarch/router.hpp"

#include <gtest/gtest.h>

#include <limits>

#include "front.hpp"

namespace eiderarch::test {
namespace {

TEST(OrdinaryPath, LongRemainderIsReadElsewhereAndPulledByTheWriter) {
  Front f;
  f.arrive(1);
  const auto reader = f.sent();
  ASSERT_TRUE(reads(reader));
  f.end(1, 0, *reader, Outcome::state_held);
  EXPECT_TRUE(writes(f.sent()));
}

TEST(OrdinaryPath, ShortPromptIsReadWhereItIsWritten) {
  Front f;
  f.arrive(1, 0, 50);
  EXPECT_TRUE(writes(f.sent()));
}

TEST(OrdinaryPath, ShortRemainderGoesToTheWriterThatKeepsTheSession) {
  Front f;
  const EngineId writer = f.serve(1, 0, 3000, 77);
  f.arrive(2, 0, 3020, 77);
  EXPECT_EQ(f.sent(), writer);
}

TEST(OrdinaryPath, MatchDoesNotWinAboveTheMedian) {
  Front f;
  const EngineId writer = f.serve(1, 0, 3000, 77);
  // Streams pile up at the session's writer: its next short turn must go elsewhere or be read anew.
  f.arrive(2, 0, 3010, 77);
  ASSERT_EQ(f.sent(), writer);
  f.stream(2, 0, writer);
  f.arrive(3, 0, 3020, 77);
  EXPECT_NE(f.sent(), writer);
}

TEST(OrdinaryPath, ForgottenTextCorrectsTheTable) {
  Front f;
  const EngineId writer = f.serve(1, 0, 3000, 77);
  for (RequestId id = 2; id < 4; ++id) {
    f.arrive(id, 0, 3000 + Tokens(id), 77);
    ASSERT_EQ(f.sent(), writer);
    f.stream(id, 0, writer);
    f.end(id, 0, writer, Outcome::served, 0, true);
  }
  // The table of that server was dropped but for what it has just read, so another session's claim is gone.
  f.arrive(9, 0, 3004, 77);
  EXPECT_EQ(f.sent(), writer);
}

TEST(Reading, EveryFailureOfAReadIsReadAgain) {
  for (const Outcome outcome :
       {Outcome::error, Outcome::busy, Outcome::timed_out, Outcome::not_connected, Outcome::reset}) {
    Front f;
    f.arrive(1, 2);
    const auto first = f.sent();
    ASSERT_TRUE(reads(first));
    f.end(1, 0, *first, outcome);
    ASSERT_TRUE(f.sent().has_value());
    EXPECT_NE(f.sent(), first);
  }
}

TEST(Reading, LateNewsOfABrokenReadLeavesNothingPinned) {
  Front f;
  f.arrive(1);
  const auto first = f.sent();
  f.end(1, 0, *first, Outcome::reset);
  EXPECT_EQ(f.count<Release>(), 1);
}

// A small site: one front, two servers that both read and write, few arrivals.
Front small_site() {
  Settings s = plain_settings();
  s.fronts = 1;
  return Front(s, {entry(kMixed, 2, 0), entry(kMixed + 1, 2, 0)});
}

TEST(Budget, AnIdleServerIsTriedThoughFewArrivalsHaveNotRefilledTheBudget) {
  Front f = small_site();
  for (RequestId id = 1; id <= 8; ++id) {
    f.arrive(id);
    const auto first = f.sent();
    ASSERT_TRUE(first.has_value());
    f.end(id, 0, *first, Outcome::error);
    const auto second = f.sent();
    ASSERT_TRUE(second.has_value()) << "request " << id << " waits while a server stands idle";
    EXPECT_NE(second, first);
    f.stream(id, 1, *second);
    f.end(id, 1, *second, Outcome::served, 0, true);
  }
}

TEST(Budget, WithEveryServerTriedAndTheBudgetSpentTheClientHearsSoAtOnce) {
  Front f = small_site();
  RequestId id = 0;
  for (int failed = 0; failed < 6; ++failed) {
    f.arrive(++id);
    for (int attempt = 0; f.count<Refuse>() == 0; ++attempt) {
      ASSERT_LT(attempt, 4);
      ASSERT_TRUE(f.sent().has_value()) << "request " << id << " is held back";
      f.end(id, attempt, *f.sent(), Outcome::error);
    }
  }
}

TEST(Budget, BusyServersAreNotLoadedByFurtherAttemptsBeyondIt) {
  Front f = small_site();
  // Streams at both, so that neither is idle.
  for (RequestId id = 100; id < 104; ++id) {
    f.arrive(id);
    f.stream(id, 0, *f.sent());
  }
  int repeats = 0;
  for (RequestId id = 1; id <= 20; ++id) {
    f.arrive(id);
    if (!f.sent()) continue;
    f.end(id, 0, *f.sent(), Outcome::error);
    if (!f.sent()) continue;
    ++repeats;
    f.end(id, 1, *f.sent(), Outcome::error);
  }
  EXPECT_LE(repeats, 2 + 24 / 5 + 1);
}

TEST(Budget, LostAnswersGoOnWithinItTheNearestToDoneFirst) {
  Settings settings = plain_settings();
  settings.resume = true;
  Front f(settings, {entry(kMixed, 2, 0), entry(kMixed + 1, 2, 1)});
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
  for (const Action& action : f.give(lost)) {
    if (const auto* send = std::get_if<Send>(&action)) {
      sent.push_back(send->id);
      EXPECT_NE(send->engine, kMixed);  // not where it was lost, while there is another
    }
  }
  // What four arrivals have saved, and not one for each that was lost.
  ASSERT_FALSE(sent.empty());
  EXPECT_LE(sent.size(), 3U);
  EXPECT_EQ(sent.front(), 100U);
  f.run(4s);
  EXPECT_EQ(f.logged<Send>(), 4 + int(sent.size()));
  EXPECT_EQ(f.logged<Refuse>(), 100 - int(sent.size()));
}

TEST(Writing, UnsafeIsFailedWhereItMayHaveRun) {
  for (const Outcome outcome : {Outcome::error, Outcome::timed_out, Outcome::reset, Outcome::cancelled}) {
    Front f;
    f.arrive(1, 2);
    f.end(1, 0, *f.sent(), Outcome::state_held);
    f.end(1, 1, *f.sent(), outcome);
    EXPECT_EQ(f.count<Fail>(), 1);
    EXPECT_EQ(f.count<Send>(), 0);
    EXPECT_EQ(f.count<Release>(), 1);
  }
}

TEST(Writing, UnsafeIsTriedAgainWhereItNeverRan) {
  for (const Outcome outcome : {Outcome::busy, Outcome::not_connected}) {
    Front f;
    f.arrive(1, 2);
    f.end(1, 0, *f.sent(), Outcome::state_held);
    const auto first = f.sent();
    f.end(1, 1, *first, outcome);
    EXPECT_TRUE(writes(f.sent()));
    EXPECT_NE(f.sent(), first);
  }
}

// Its second read went to the reader of the other zone: a copy of the request outside its group.
TEST(Writing, WhatMayHaveRunIsReadAgainOnlyInItsGroupAndWindow) {
  Settings s = plain_settings();
  s.writers_read = false;
  s.limits.max_attempts = 8;
  for (Key session = 1; session <= 20; ++session) {
    Front f(s);
    f.arrive(1, 1, 3000, session);
    EXPECT_EQ(std::get<Send>(f.last.front()).by, 0s);  // no window has opened
    f.end(1, 0, *f.sent(), Outcome::state_held);
    const EngineId writer = *f.sent();
    const Time window = f.now + 3s;
    f.run(100ms);
    f.end(1, 1, writer, Outcome::reset);
    ASSERT_EQ(f.sent(), writer);
    EXPECT_EQ(std::get<Send>(f.last.front()).by, window);
    f.end(1, 2, writer, Outcome::busy, 1);  // the state is gone: it is read anew
    const EngineId reader = writer == kWriterA ? kReaderA : kReaderB;
    ASSERT_EQ(f.sent(), reader);
    f.now = window - 10ms;
    f.end(1, 3, reader, Outcome::error);
    EXPECT_FALSE(f.sent());
    EXPECT_EQ(f.count<Fail>(), 1);
  }
}

TEST(Writing, AnAttemptThatNeverRanNarrowsNoGroup) {
  Front f(plain_settings(), {entry(kReaderA, 0, 0), entry(kWriterA, 1, 0), entry(kWriterB, 1, 1)});
  f.arrive(1, 1);
  f.end(1, 0, kReaderA, Outcome::state_held);
  const EngineId first = *f.sent();
  f.end(1, 1, first, Outcome::not_connected);
  EXPECT_EQ(f.sent(), first == kWriterA ? kWriterB : kWriterA);
}

TEST(Writing, KeyedStaysInItsCell) {
  Front f;
  f.arrive(1, 1);
  f.end(1, 0, *f.sent(), Outcome::state_held);
  const auto first = f.sent();
  f.end(1, 1, *first, Outcome::error);
  EXPECT_TRUE(!f.sent() || f.sent() == first);
  f.run(7s);
  EXPECT_EQ(f.logged<Refuse>(), 0);
}

TEST(Writing, NoStateMeansReadAgainAndTheOldStateLetGo) {
  Front f;
  f.arrive(1);
  f.end(1, 0, *f.sent(), Outcome::state_held);
  f.end(1, 1, *f.sent(), Outcome::busy, 1);
  EXPECT_EQ(f.count<Release>(), 1);
  EXPECT_TRUE(reads(f.sent()));
}

TEST(Writing, AnotherWriterPullsTheStateWhenTheFirstIsFull) {
  Front f;
  f.arrive(1);
  f.end(1, 0, *f.sent(), Outcome::state_held);
  const auto first = f.sent();
  f.end(1, 1, *first, Outcome::busy);
  EXPECT_TRUE(writes(f.sent()));
  EXPECT_NE(f.sent(), first);
  EXPECT_EQ(f.count<Release>(), 0);
}

TEST(Writing, WriterLostDuringTheReadIsReplaced) {
  Front f;
  f.arrive(1);
  const auto reader = f.sent();
  auto gone = entry(kWriterA, 1, 0);
  gone.state = EngineState::gone;
  f.give({ListChanged{ListScope::changes, {gone}}});
  f.end(1, 0, *reader, Outcome::state_held);
  EXPECT_EQ(f.sent(), kWriterB);
}

TEST(Memory, OwnTokensAtAWriterStayWithinThisFrontsShare) {
  Settings s = plain_settings();
  s.kinds[1].memory = 16000;  // for two fronts: 8,000 each, two prompts of 3,000 with their answers
  Front f(s);
  int sends = 0;
  for (RequestId id = 1; id <= 8; ++id) {
    f.arrive(id);
    if (const auto reader = f.sent()) {
      f.end(id, 0, *reader, Outcome::state_held);
      ++sends;
    }
  }
  EXPECT_EQ(sends, 4);
}

TEST(Links, ASlowLinkKeepsReadsInTheWritersCell) {
  Front f(plain_settings(), {entry(kReaderA, 0, 0), entry(kReaderB, 0, 1), entry(kWriterA, 1, 0)});
  // The near reader is busy, so the far one is asked until first tokens of its states come late.
  int far_before = 0;
  for (RequestId id = 1; id <= 4; ++id) {
    f.arrive(id);
    far_before += f.sent() == kReaderB;
  }
  ASSERT_GT(far_before, 0);
  for (RequestId id = 1; id <= 4; ++id) {
    for (const EngineId reader : {kReaderA, kReaderB}) f.end(id, 0, reader, Outcome::state_held);
  }
  for (RequestId id = 1; id <= 4; ++id) f.give({StreamStarted{id, 1, kWriterA, 4s}});
  int far_after = 0;
  for (RequestId id = 11; id <= 13; ++id) {
    f.arrive(id);
    far_after += f.sent() == kReaderB;
  }
  EXPECT_EQ(far_after, 0);
}

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

TEST(Lists, DrainingServerGetsNothingNew) {
  Front f;
  auto draining = entry(kReaderA, 0, 0);
  draining.state = EngineState::draining;
  f.give({ListChanged{ListScope::changes, {draining}}});
  for (RequestId id = 1; id < 6; ++id) {
    f.arrive(id);
    EXPECT_NE(f.sent(), kReaderA);
  }
}

TEST(Lists, AbsentFromACompleteListIsGone) {
  Front f;
  f.give({ListChanged{ListScope::complete, {entry(kReaderB, 0, 1), entry(kWriterB, 1, 1)}}});
  f.arrive(1);
  EXPECT_EQ(f.sent(), kReaderB);
}

TEST(Lists, StaleDiskListIsCorrectedByFailures) {
  Front f;
  f.arrive(1);
  const auto dead = f.sent();
  f.end(1, 0, *dead, Outcome::not_connected);
  EXPECT_NE(f.sent(), dead);
  f.arrive(2);
  EXPECT_NE(f.sent(), dead);
}

TEST(Lists, OnRequestListsAreSubscribedAndAskedAgainAfterAFailure) {
  Settings s = plain_settings();
  s.list_mode = ListMode::on_request;
  Front f(s);
  EXPECT_EQ(f.logged<Subscribe>(), 1);
  f.give({ListChanged{ListScope::failed, {}}});
  f.run(2s);
  EXPECT_EQ(f.logged<Subscribe>(), 2);
}

TEST(Lists, WithNoReaderTheWriterReads) {
  Front f(plain_settings(), {entry(kWriterA, 1, 0)});
  f.arrive(1);
  EXPECT_EQ(f.sent(), kWriterA);
}

TEST(Lists, AWriterThatMayNotReadIsNeverAskedTo) {
  Settings s = plain_settings();
  s.writers_read = false;
  Front f(s, {entry(kWriterA, 1, 0)});
  f.arrive(1);
  f.run(7s);
  EXPECT_EQ(f.logged<Send>(), 0);
  EXPECT_EQ(f.logged<Refuse>(), 1);
}

TEST(Cold, AFreshServerGetsFewSends) {
  Settings s = plain_settings();
  auto list = plain_list();
  Front f(s, {list[0], list[2], list[3]});
  auto fresh = entry(kReaderB, 0, 1);
  fresh.started = f.now;
  f.give({ListChanged{ListScope::changes, {fresh}}});
  int to_fresh = 0;
  for (RequestId id = 1; id <= 10; ++id) {
    f.arrive(id);
    to_fresh += f.sent() == kReaderB;
  }
  EXPECT_LE(to_fresh, 4);
}

// One of `fronts` fronts is told of a fresh reader among `warm` other ones and gets a request a second.
int sends_to_a_fresh_reader(std::uint32_t fronts, std::uint64_t seed, Duration length, EngineId warm) {
  Settings s = plain_settings();
  s.fronts = fronts;
  s.seed = seed;
  std::vector<EngineEntry> list;
  for (EngineId id = 1; id <= warm + 1; ++id) list.push_back(entry(id, 0, 0));
  for (EngineId id = 6; id <= 10; ++id) list.push_back(entry(id, 1, 0));
  Front f(s, list);
  list[0].started = f.now;
  f.give({ListChanged{ListScope::changes, {list[0]}}});
  for (RequestId id = 1; Duration(1s) * std::int64_t(id) <= length; ++id) {
    f.arrive(id, 0, 3000, seed * 100 + id);
    f.run(1s);
  }
  return int(std::count_if(f.log.begin(), f.log.end(), [](const Action& action) {
    const auto* send = std::get_if<Send>(&action);
    return send != nullptr && send->engine == 1;
  }));
}

TEST(Cold, ManyFrontsTogetherStayWithinTheBudget) {
  // Were each front to allow itself one send at once, 200 would arrive in the first second. A warm reader
  // gets 40 a second here; the fresh one at 0.3 of that may be sent three times its part.
  int first_second = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) first_second += sends_to_a_fresh_reader(200, seed, 1s, 4);
  EXPECT_LE(first_second, 36);
}

TEST(Cold, FrontsThatSeldomHaveARequestWarmItTogether) {
  // A hundred fronts with one request in two seconds each: none saves up a whole send of its own in that
  // time, and still the fresh reader is to get some of the ten that a warm one gets, and no more than its
  // part.
  int sends = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) sends += sends_to_a_fresh_reader(400, seed, 1s, 39);
  EXPECT_GE(sends, 2);
  EXPECT_LE(sends, 9);
}

TEST(Cold, AFreshServerIsWarmedByAFewFrontsToo) {
  int sends = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) sends += sends_to_a_fresh_reader(2, seed, 8s, 0);
  EXPECT_GT(sends, 5);
}

// ---- Reports: what a front that seldom sends asks for ----

Settings asking_settings() {
  Settings s = plain_settings();
  s.fronts = 100;
  s.limits.probes = true;
  s.report_mode = ReportMode::probes;
  return s;
}

// One that the list has been told to.
struct ToldFront : Front {
  ToldFront() : Front(asking_settings()) { give({ListChanged{ListScope::complete, plain_list()}}); }
};

// The boxes asked since the last action that was looked at.
std::vector<EngineId> asked(const std::vector<Action>& actions) {
  std::vector<EngineId> engines;
  for (const Action& action : actions) {
    if (const auto* probe = std::get_if<Probe>(&action)) engines.push_back(probe->engine);
  }
  return engines;
}

// With reports in answers alone, a front of many chose blind: one in five was refused on a quiet day.
TEST(Reports, WhereAnswersHoldThemTheyAreAskedForToo) {
  for (const ReportMode mode : {ReportMode::none, ReportMode::answers}) {
    Settings s = asking_settings();
    s.report_mode = mode;
    Front f(s);
    f.give({ListChanged{ListScope::complete, plain_list()}});
    f.arrive(1);
    EXPECT_EQ(asked(f.log).empty(), mode == ReportMode::none);
    EXPECT_EQ(f.sent().has_value(), mode == ReportMode::none);
  }
}

ProbeEnded report(EngineId engine, double ktokens) {
  return {engine, Outcome::served, 2ms, {{ReportField::queued_ktokens, ktokens}}};
}

TEST(Reports, AJammedHomeReaderIsLeftForAnIdleOne) {
  ToldFront f;
  const std::vector<EngineId> home = asked(f.arrive(1));
  ASSERT_EQ(home.size(), 1U);
  EXPECT_FALSE(f.sent());
  const std::vector<EngineId> other = asked(f.give({report(home[0], 90.0)}));
  ASSERT_EQ(other.size(), 1U);
  EXPECT_NE(other[0], home[0]);
  f.give({report(other[0], 0.0)});
  EXPECT_EQ(f.sent(), other[0]);
}

TEST(Reports, AnIdleHomeReaderIsAskedAlone) {
  ToldFront f;
  const std::vector<EngineId> home = asked(f.arrive(1));
  ASSERT_EQ(home.size(), 1U);
  f.give({report(home[0], 0.0)});
  EXPECT_EQ(f.sent(), home[0]);
  EXPECT_EQ(f.logged<Probe>(), 1);
}

TEST(Reports, AFrontThatSendsOftenAsksNobody) {
  ToldFront f;
  for (RequestId id = 1; id <= 20; ++id) f.arrive(id);
  const int before = f.logged<Probe>();
  for (RequestId id = 21; id <= 40; ++id) f.arrive(id);
  EXPECT_EQ(f.logged<Probe>(), before);
}

TEST(Reports, AnAnswerThatStaysOutHoldsNothingUpForLong) {
  ToldFront f;
  f.arrive(1);
  f.run(200ms);
  EXPECT_EQ(f.logged<Send>(), 1);
}

TEST(Reports, FiguresThatAreNoneAreNotUsed) {
  ToldFront f;
  const std::vector<EngineId> home = asked(f.arrive(1));
  ASSERT_EQ(home.size(), 1U);
  f.give({report(home[0], std::numeric_limits<double>::quiet_NaN())});
  f.run(100ms);
  EXPECT_EQ(f.logged<Send>(), 1);
  f.arrive(2);
  f.give({report(home[0], -5.0)});
  f.run(100ms);
  EXPECT_EQ(f.logged<Send>(), 2);
}

TEST(Reports, WithAnOldListBoxesThatAreGoneCostNoAttempt) {
  Front f(asking_settings());
  f.arrive(1);
  std::set<EngineId> gone;
  std::size_t answered = 0;
  for (int round = 0; round < 50 && f.logged<Send>() == 0; ++round) {
    std::vector<Event> ends;
    for (const EngineId engine : asked({f.log.begin() + std::ptrdiff_t(answered), f.log.end()})) {
      const bool runs = engine == kReaderB || engine == kWriterB;
      if (!runs) gone.insert(engine);
      ends.push_back(ProbeEnded{engine, runs ? Outcome::served : Outcome::not_connected, 1ms, {}});
    }
    answered = f.log.size();
    ends.empty() ? f.run(20ms) : void(f.give(ends));
  }
  EXPECT_FALSE(gone.empty());
  EXPECT_EQ(f.sent(), kReaderB);
}

// Further attempts, where every read fails, of requests that come `gap` apart for ten seconds.
int repeats_when_all_fails(Duration gap) {
  Front f;
  int arrived = 0;
  for (Duration at{0}; at < 10s; at += gap, ++arrived) {
    f.arrive(RequestId(arrived) + 1);
    for (int attempt = 0; f.sent() && attempt < 4; ++attempt) {
      f.end(RequestId(arrived) + 1, attempt, *f.sent(), Outcome::reset);
    }
    f.give({RequestGone{RequestId(arrived) + 1}});
    f.now += gap;
  }
  return f.logged<Send>() - arrived;
}

TEST(Retries, SavedOnesFollowWhatArrivesAtThisFront) {
  // A front with one request a second saves a few repeats, not 20 that hundreds of fronts would spend at
  // once.
  EXPECT_LE(repeats_when_all_fails(1s), 2 + 3);
  EXPECT_GE(repeats_when_all_fails(100ms), 12);
}

TEST(Homes, FrontsThatNeverTalkReadASessionAtTheSameReader) {
  std::vector<EngineEntry> list;
  for (EngineId id = 1; id <= 40; ++id) list.push_back(entry(id, id <= 20 ? 0U : 1U, std::uint32_t(id % 8)));
  std::set<EngineId> readers;
  int moved = 0;
  for (Key session = 1; session <= 30; ++session) {
    std::set<EngineId> of_session;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      Settings s = plain_settings();
      s.fronts = 100;
      s.seed = seed;
      Front f(s, list);
      f.arrive(1, 0, 3000, session, 9, 2000);
      of_session.insert(f.sent().value_or(0));
    }
    moved += of_session.size() > 1;
    readers.insert(of_session.begin(), of_session.end());
  }
  EXPECT_EQ(moved, 0);
  // One beginning, many sessions: it has more than one home, and not every reader is one.
  EXPECT_GE(readers.size(), 2U);
  EXPECT_LE(readers.size(), 4U);
}

TEST(Health, AWriterSilentForOneClassIsAvoidedForThatClassOnly) {
  Front f(plain_settings(), {entry(kReaderA, 0, 0), entry(kWriterA, 1, 0), entry(kWriterB, 1, 0)});
  // Class 0 is never answered by the one writer, class 1 by both.
  RequestId id = 1;
  std::optional<EngineId> bad;
  int again = 0;
  for (int i = 0; i < 12; ++i, ++id) {
    f.arrive(id, i % 2 == 0 ? 0U : 1U, 100);
    ASSERT_TRUE(writes(f.sent()));
    const EngineId to = *f.sent();
    if (i % 2 == 0 && (!bad || to == *bad)) {
      again += bad.has_value();
      bad = to;
      f.end(id, 0, to, Outcome::error);
      if (f.sent()) f.end(id, 1, *f.sent(), Outcome::served, 0, true);
    } else {
      f.stream(id, 0, to);
      f.end(id, 0, to, Outcome::served, 0, true);
    }
    f.run(200ms);
  }
  EXPECT_EQ(again, 0);
}

// A box that fails at once is always idle: with the other one out of room it would get, and lose, all.
TEST(Health, AWriterThatFailsAtOnceIsNotTakenForOneThatHasRoom) {
  Settings s = plain_settings();
  s.kinds[1].memory = 400;  // the sound writer has room for one request of this front
  Front f(s);
  int failed = 0;
  for (RequestId id = 1; id <= 30; ++id) {
    f.arrive(id, 2, 100);  // unsafe, read where it is written
    if (f.sent() != kWriterB) continue;
    ++failed;
    f.end(id, 0, kWriterB, Outcome::error);
    f.run(20ms);
  }
  EXPECT_GE(failed, 1);
  EXPECT_LE(failed, 4) << "it goes on being chosen for being idle";
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

// Of a read that takes most of the time left to the aim; a shorter one saves less than the call costs.
Settings hurried_settings() {
  Settings s = plain_settings();
  s.claim_ahead = true;
  for (RequestClass& c : s.classes) c.aim = 100ms;
  return s;
}

TEST(Ahead, NoPlaceIsClaimedWhereTheReadIsShortBesideTheAim) {
  Settings s = plain_settings();
  s.claim_ahead = true;
  Front f(s);
  f.arrive(1);
  ASSERT_TRUE(f.sent().has_value());
  EXPECT_EQ(f.count<ClaimWriter>(), 0);
}

TEST(Ahead, PlaceIsClaimedWithTheReadAndUsed) {
  const Settings s = hurried_settings();
  Front f(s);
  f.arrive(1);
  const auto reader = f.sent();
  ASSERT_EQ(f.count<ClaimWriter>(), 1);
  EngineId writer = 0;
  for (const Action& a : f.last) {
    if (const auto* claim = std::get_if<ClaimWriter>(&a)) writer = claim->engine;
  }
  f.give({PlaceAnswer{1, 0, writer, true}});
  f.end(1, 0, *reader, Outcome::state_held);
  EXPECT_EQ(f.sent(), writer);
}

TEST(Ahead, PlaceIsLetGoWhenTheRequestEnds) {
  const Settings s = hurried_settings();
  Front f(s);
  f.arrive(1);
  const auto reader = f.sent();
  f.give({RequestGone{1}});
  f.end(1, 0, *reader, Outcome::cancelled, 0, true);
  EXPECT_GE(f.logged<Release>(), 1);
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

TEST(Patience, ASilentReaderIsLeftForAnother) {
  Front f;
  for (RequestId id = 1; id < 9; ++id) f.serve(id);
  f.arrive(20);
  const auto silent = f.sent();
  f.run(1200ms);
  EXPECT_GE(f.logged<Cancel>(), 1);
  f.end(20, 0, *silent, Outcome::cancelled);
  EXPECT_TRUE(f.sent().has_value());
  EXPECT_NE(f.sent(), silent);
}

TEST(Patience, AnUnsafeWriterAttemptIsNeverCalledOff) {
  Front f;
  for (RequestId id = 1; id < 9; ++id) f.serve(id);
  f.arrive(20, 2);
  f.end(20, 0, *f.sent(), Outcome::state_held);
  f.run(5s);
  EXPECT_EQ(f.logged<Cancel>(), 0);
}

TEST(Settings, NothingUsableIsRefusedSafely) {
  Settings empty;
  Router router(empty);
  RequestArrived r;
  r.id = 1;
  r.deadline = 5s;
  const auto actions = router.handle(1s, {ListChanged{ListScope::disk, plain_list()}, r});
  ASSERT_FALSE(actions.empty());
  EXPECT_TRUE(std::holds_alternative<Refuse>(actions.front()));
}

TEST(Settings, ZeroesAndIndexesOutOfRangeDoNoHarm) {
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
