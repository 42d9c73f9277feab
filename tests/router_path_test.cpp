// How a request is read and written: the choice of servers, prefix matches, memory, links and load reports.
#include <gtest/gtest.h>

#include <limits>

#include "eiderarch/router.hpp"
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

// Serves requests, so far apart, whose reads take that long; returns how many of the last forty get an
// attempt at all.
int admitted_of_forty(Duration read_time, Duration apart) {
  constexpr RequestId kLearned = 30, kCounted = 40;
  Settings settings = plain_settings();
  settings.writers_read = false;  // no way past the readers
  Front f(settings);
  int admitted = 0;
  for (RequestId id = 1; id <= kLearned + kCounted; ++id) {
    f.arrive(id);
    const auto first = f.sent();
    admitted += id > kLearned && first.has_value();
    if (reads(first)) {
      f.give({AttemptEnded{id, 0, *first, Outcome::state_held, read_time, false, 0, {}}});
      f.end(id, 1, f.sent().value_or(0), Outcome::served, 0, true);
    } else if (first) {
      f.end(id, 0, *first, Outcome::served, 0, true);
    }
    f.run(apart);
  }
  return admitted;
}

// The aim is 2.15 s.
TEST(Admission, ReadsThatLeaveHalfOfTheAimFreeAreNoJam) { EXPECT_EQ(admitted_of_forty(800ms, 1s), 40); }

TEST(Admission, ReadsThatTakeLongerThanTheAimLetOnlyAPartIn) { EXPECT_LT(admitted_of_forty(4s, 4s), 30); }

}  // namespace
}  // namespace eiderarch::test
