// Each estimate by itself, compared with a simple reference implementation where there is one.
#include <gtest/gtest.h>

#include <list>

#include "drawn_settings.hpp"
#include "estimates/beliefs.hpp"
#include "estimates/prefix_table.hpp"
#include "estimates/quota.hpp"
#include "front.hpp"

namespace eiderarch::test {
namespace {

TEST(PrefixTable, IsALeastRecentlyUsedListOfBoundedLength) {
  RandomSource draw(11);
  PrefixTable table;
  std::list<std::pair<Key, Tokens>> reference;  // most recently used first
  for (int i = 0; i < 20000; ++i) {
    const Key key = Key(draw.pick(0, 3000));
    const Tokens length = draw.pick(-5, 4000);
    table.put(key, length);
    if (key != 0 && length > 0) {
      reference.remove_if([key](const auto& kept) { return kept.first == key; });
      reference.emplace_front(key, length);
      if (reference.size() > kMaxPrefixes) reference.pop_back();
    }
    const Key asked = Key(draw.pick(0, 3000));
    const auto it = std::ranges::find(reference, asked, &std::pair<Key, Tokens>::first);
    ASSERT_EQ(table.find(asked), it == reference.end() ? 0 : it->second);
  }
}

TEST(Quotas, NoWindowExceedsTheShareAndTheBurst) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    RandomSource draw(seed);
    Quotas quotas;
    const double rate = draw.between(0.2, 4.0);
    std::vector<Time> taken;
    Time now{1s};
    for (int i = 0; i < 3000; ++i) {
      now += draw.time(1, 200);
      if (quotas.within(3, rate, now)) taken.push_back(now);
      quotas.within(4, rate, now);  // another tenant's requests do not count
    }
    const double depth = std::max(rate, kTenantBurst);
    for (std::size_t from = 0; from < taken.size(); from += 7) {
      for (std::size_t to = from; to < taken.size(); to += 13) {
        ASSERT_LE(double(to - from), depth + rate * seconds(taken[to] - taken[from]) + 1e-6);
      }
    }
    // The tenant is not held below its share either: it asked ten times as often.
    EXPECT_GE(double(taken.size()), 0.95 * rate * seconds(taken.back() - taken.front()) - depth);
  }
}

TEST(OutcomeRecord, StartsAtThePriorAndForgetsOldOutcomes) {
  OutcomeRecord record;
  EXPECT_DOUBLE_EQ(record.failure_share(1s, 0.25, 2.0), 0.25);
  for (int i = 0; i < 50; ++i) record.add(1s, i % 2 == 0);
  EXPECT_NEAR(record.failure_share(1s, 0.0, 2.0), 0.48, 0.01);
  EXPECT_NEAR(record.failure_share(600s, 0.25, 2.0), 0.25, 0.01);
}

TEST(Pace, AnOutlierIsCappedAtTenTimesThePaceAndFades) {
  Pace pace;
  for (int i = 0; i < 60; ++i) pace.sample(1s, 1.0, 2.0);
  EXPECT_NEAR(pace.estimate(1s, 1.0), 2.0, 0.01);
  pace.sample(1s, 1.0, 1e9);
  EXPECT_LE(pace.estimate(1s, 1.0), 2.0 + kPaceGain * 20.0);
  EXPECT_NEAR(pace.estimate(200s, 1.0), 1.0, 0.01);
  pace.overdue = 7.0;  // attempts that have not ended set a lower bound
  EXPECT_DOUBLE_EQ(pace.estimate(200s, 1.0), 7.0);
}

TEST(Trend, FollowsSamplesAndWeighsThemMoreAfterAGap) {
  Trend frequent{1.0}, spaced{1.0};
  for (int i = 0; i < 40; ++i) frequent.add(1s, 4.0);
  EXPECT_NEAR(frequent.value, 4.0, 0.01);
  spaced.add(1s, 1.0);
  Trend soon_after = spaced;
  soon_after.add(1s, 4.0);
  spaced.add(100s, 4.0);
  EXPECT_GT(spaced.value, soon_after.value);
  EXPECT_GT(spaced.value, 0.0);
  spaced.add(100s, 0.0);  // no logarithm of zero
  EXPECT_GT(spaced.value, 0.0);
}

struct EstimatesFixture {
  Settings settings;
  Estimates estimates{settings};
  EstimatesFixture() {
    settings.kinds = {{Role::reader, 1000}, {Role::writer, 2000}};
    settings.rules.cold_time = 10s;
  }
  static EngineEntry make_entry(EngineId id, std::uint32_t kind, double rating = 1.0,
                                Time started = Time{0}) {
    EngineEntry e;
    e.engine = id;
    e.kind = kind;
    e.rating = rating;
    e.started = started;
    return e;
  }
};

TEST(Estimates, ACompleteListRemovesWhatItDoesNotName) {
  EstimatesFixture fixture;
  fixture.estimates.apply_list({ListScope::disk,
                                {EstimatesFixture::make_entry(1, 0), EstimatesFixture::make_entry(2, 1),
                                 EstimatesFixture::make_entry(3, 1, 2.0)}});
  EXPECT_FALSE(fixture.estimates.list_received);
  EXPECT_DOUBLE_EQ(fixture.estimates.capacity.decode, 3.0);
  fixture.estimates.apply_list(
      {ListScope::complete, {EstimatesFixture::make_entry(1, 0), EstimatesFixture::make_entry(3, 1, 2.0)}});
  EXPECT_TRUE(fixture.estimates.list_received);
  EXPECT_FALSE(fixture.estimates.find(2)->live());
  EXPECT_DOUBLE_EQ(fixture.estimates.capacity.decode, 2.0);
  EXPECT_DOUBLE_EQ(fixture.estimates.peak_capacity.decode, 3.0);
  fixture.estimates.apply_list(
      {ListScope::changes, {EstimatesFixture::make_entry(9, 7)}});  // of a kind that the settings lack
  EXPECT_EQ(fixture.estimates.find(9), nullptr);
}

TEST(Estimates, ANewStartTimeDropsWhatWasLearned) {
  EstimatesFixture fixture;
  fixture.estimates.apply_list({ListScope::complete, {EstimatesFixture::make_entry(2, 1)}});
  Instance& e = *fixture.estimates.find(2);
  e.cached_prefixes.put(5, 900);
  e.all_classes.add(1s, false);
  e.reported_at = e.memory_reported_at = 1s;
  fixture.estimates.now = 2s;
  fixture.estimates.apply_list({ListScope::changes, {EstimatesFixture::make_entry(2, 1, 1.0, 2s)}});
  EXPECT_EQ(e.cached_prefixes.find(5), 0);
  EXPECT_DOUBLE_EQ(e.all_classes.failure_share(2s, 0.0, 1.0), 0.0);
  EXPECT_LT(e.reported_at, Time{0});
  EXPECT_TRUE(fixture.estimates.in_slow_start(e));
  fixture.estimates.now = 13s;
  EXPECT_FALSE(fixture.estimates.in_slow_start(e));
}

TEST(Estimates, InvalidMemoryReportsAreIgnoredOrClamped) {
  EstimatesFixture fixture;
  fixture.estimates.apply_list({ListScope::complete, {EstimatesFixture::make_entry(2, 1)}});
  Instance& e = *fixture.estimates.find(2);
  e.resident_tokens = 500.0;
  EXPECT_DOUBLE_EQ(fixture.estimates.memory_used(e), 0.25);  // from own requests alone
  fixture.estimates.apply_report(e, {{ReportField::memory_share, 0.5}});
  e.resident_tokens += 200.0;
  EXPECT_DOUBLE_EQ(fixture.estimates.memory_used(e), 0.6);
  for (const double invalid : {-1.0, std::nan("")}) {
    fixture.estimates.apply_report(e, {{ReportField::memory_share, invalid}});
    EXPECT_DOUBLE_EQ(fixture.estimates.memory_used(e), 0.6);
  }
  fixture.estimates.apply_report(e, {{ReportField::memory_share, 1e300}});
  EXPECT_DOUBLE_EQ(fixture.estimates.memory_used(e), 1.0);
  e.memory = 0;  // capacity unknown
  EXPECT_DOUBLE_EQ(fixture.estimates.memory_used(e), 0.0);
}

TEST(Estimates, ATransferOverAFailedPathIsExpensiveForAWhile) {
  EstimatesFixture fixture;
  auto far = EstimatesFixture::make_entry(2, 1);
  far.cell = 1;
  fixture.estimates.apply_list({ListScope::complete, {EstimatesFixture::make_entry(1, 0), far}});
  const Instance &prefill_instance = *fixture.estimates.find(1),
                 &decode_instance = *fixture.estimates.find(2);
  const double before = fixture.estimates.transfer_time(prefill_instance, decode_instance, 4000);
  EXPECT_GT(before, fixture.estimates.transfer_time(prefill_instance, prefill_instance, 4000));
  fixture.estimates.failed_paths[{0, 1}] = 3s;
  fixture.estimates.now = 2s;
  EXPECT_GT(fixture.estimates.transfer_time(prefill_instance, decode_instance, 4000), before);
  fixture.estimates.now = 3s;
  EXPECT_DOUBLE_EQ(fixture.estimates.transfer_time(prefill_instance, decode_instance, 4000), before);
}

// Serves prefills of 6,000 tokens that all take the same time while each prefill instance reports its own
// number of cached tokens. Returns how many of the last ten go to the second one.
int prefills_at_second(Tokens cached_at_first, Tokens cached_at_second) {
  constexpr RequestId kWarmUpRequests = 24, kCountedRequests = 10;
  RouterHarness f;
  int at_second = 0;
  for (RequestId id = 1; id <= kWarmUpRequests + kCountedRequests; ++id) {
    f.arrive(id, 0, 6000);
    const EngineId prefill_instance = f.sent().value_or(0);
    EXPECT_TRUE(is_prefill_instance(prefill_instance));
    at_second += id > kWarmUpRequests && prefill_instance == kPrefillB;
    f.end(id, 0, prefill_instance, Outcome::state_held,
          prefill_instance == kPrefillA ? cached_at_first : cached_at_second);
    f.end(id, 1, f.sent().value_or(0), Outcome::served, 0, true);
    f.run(100ms);
  }
  return at_second;
}

TEST(Pace, IsLearnedFromReportedNotFromExpectedCachedTokens) {
  EXPECT_GE(prefills_at_second(5500, 0), 9) << "the first had few tokens to prefill and took as long";
}

TEST(Pace, ACachedCountOutsideThePromptIsClamped) {
  EXPECT_EQ(prefills_at_second(1'000'000'000, 6000), prefills_at_second(6000, 6000));
  EXPECT_EQ(prefills_at_second(-1'000'000'000, 0), prefills_at_second(0, 0));
}

TEST(CachedShare, StaysWithinZeroAndOneForAnyReport) {
  const Settings settings = plain_settings();
  Estimates estimates(settings);
  for (int i = 0; i < 50; ++i) estimates.learn_cached_share(0, 0, 6000, 1'000'000'000);
  EXPECT_LE(estimates.cached_share(0, 0), 1.0);
  for (int i = 0; i < 50; ++i) estimates.learn_cached_share(0, 0, 6000, -1'000'000'000);
  EXPECT_GE(estimates.cached_share(0, 0), 0.0);
}

}  // namespace
}  // namespace eiderarch::test
