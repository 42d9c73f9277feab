// Rate limits and the idempotency ledger, partly against simple models with random operations.
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <map>

#include "admission/ledger.hpp"
#include "admission/limiter.hpp"

using namespace bankmux::admission;
using namespace std::chrono_literals;
using BeginStatus = Ledger::BeginStatus;

TEST_CASE("Limiter: no more than one minute's allowance passes across a minute boundary") {
  Limiter limiter;
  const Limits limits{60, 0, 0};
  int passed = 0;
  // Bursts at the end of one minute and the beginning of the next: fixed windows would let 120 pass.
  for (const Time now : {Time(59'999ms), Time(60'001ms)}) {
    for (int i = 0; i < 100; ++i) passed += limiter.take(now, "t", limits, 0).limited == ExceededLimit::none;
  }
  CHECK(passed == 60);
  const Decision decision = limiter.take(60'001ms, "t", limits, 0);
  CHECK(decision.limited == ExceededLimit::requests);
  CHECK(decision.limit_status.remaining_requests == 0);
  // The reported wait is sufficient, and a shorter one is not.
  CHECK(limiter.take(60'001ms + decision.wait - 1ms, "t", limits, 0).limited == ExceededLimit::requests);
  CHECK(limiter.take(60'001ms + decision.wait, "t", limits, 0).limited == ExceededLimit::none);
}

TEST_CASE("Limiter: a request that never ran costs nothing, and absurd usage figures stay within range") {
  Limiter limiter;
  const Limits limits{0, 1000, 0};
  CHECK(limiter.take(1s, "t", limits, 400).limited == ExceededLimit::none);
  limiter.refund_request(1s, "t", limits, 400);
  CHECK(limiter.limit_status(1s, "t", limits).remaining_tokens == 1000);
  for (const Tokens used : {Tokens(-5), Tokens(1'000'000'000'000'000'000)}) {
    CHECK(limiter.take(1s, "t", limits, 400).limited == ExceededLimit::none);
    limiter.settle(1s, "t", limits, 400, used, 500);
    CHECK(limiter.limit_status(1s, "t", limits).remaining_tokens == (used < 0 ? 1000 : 500));
  }
  CHECK(limiter.open("t") == 0);
}

TEST_CASE("Limiter: a clock that goes backwards neither adds nor removes allowance") {
  Limiter limiter;
  const Limits limits{1, 0, 0};
  CHECK(limiter.take(100s, "t", limits, 0).limited == ExceededLimit::none);
  CHECK(limiter.take(1s, "t", limits, 0).limited == ExceededLimit::requests);
  CHECK(limiter.take(159s, "t", limits, 0).limited == ExceededLimit::requests);
  CHECK(limiter.take(160s, "t", limits, 0).limited == ExceededLimit::none);
}

TEST_CASE(
    "Limiter: a full table rejects new tenants, not active ones, and drops tenants whose allowance is full") {
  Limiter limiter(100);
  const Limits limits{1, 0, 1};
  for (int i = 0; i < 100; ++i)
    CHECK(limiter.take(1s, std::to_string(i), limits, 0).limited == ExceededLimit::none);
  CHECK(limiter.take(1s, "new", limits, 0).limited == ExceededLimit::too_many_tenants);
  for (int i = 0; i < 100; ++i) limiter.settle(1s, std::to_string(i), limits, 0, 0, 0);
  CHECK(limiter.take(62s, "new", limits, 0).limited == ExceededLimit::none);
  CHECK(limiter.tenants() == 1);
}

TEST_CASE("Limiter: 100,000 tenants are counted separately, and further ones are rejected") {
  Limiter limiter;
  const Limits limits{2, 0, 0};
  const auto name = [](int i) { return "tenant " + std::to_string(i); };
  for (int round = 0; round < 3; ++round) {
    int passed = 0;
    for (int i = 0; i < 100'000; ++i)
      passed += limiter.take(1s, name(i), limits, 0).limited == ExceededLimit::none;
    CHECK(passed == (round < 2 ? 100'000 : 0));
  }
  int turned_away = 0;  // without a sweep of the table for each
  for (int i = 0; i < 100'000; ++i)
    turned_away +=
        limiter.take(1s, "new " + std::to_string(i), limits, 0).limited == ExceededLimit::too_many_tenants;
  CHECK(turned_away == 100'000);
  CHECK(limiter.tenants() == 100'000);
}

TEST_CASE("Limiter: after random reservations and refunds nothing stays reserved") {
  CHECK(rc::check([] {
    Limiter limiter;
    const Limits limits{100, 10'000, 5};
    std::vector<Tokens> open;
    Time now = 1s;
    for (int step = 0; step < 60; ++step) {
      now += Duration(*rc::gen::inRange(-100'000, 1'000'000));
      const Tokens tokens = *rc::gen::inRange<Tokens>(0, 3000);
      if (*rc::gen::arbitrary<bool>() || open.empty()) {
        const Decision decision = limiter.take(now, "t", limits, tokens);
        if (decision.limited == ExceededLimit::none) open.push_back(tokens);
        if (decision.limited == ExceededLimit::open) RC_ASSERT(open.size() == 5U);
      } else {
        limiter.refund_request(now, "t", limits, open.back());
        open.pop_back();
      }
      RC_ASSERT(limiter.open("t") == int(open.size()));
    }
    for (const Tokens tokens : open) limiter.refund_request(now, "t", limits, tokens);
    RC_ASSERT(limiter.open("t") == 0);
    RC_ASSERT(limiter.limit_status(now, "t", limits).remaining_requests >= 99);
    RC_ASSERT(limiter.limit_status(now, "t", limits).remaining_tokens >= 9'999);
  }));
}

TEST_CASE("Ledger: a repeat is deferred, then replayed, and another body under the same key is detected") {
  Ledger ledger({});
  const auto first = ledger.begin(1s, "t", "k", 7, true);
  CHECK(first.status == BeginStatus::fresh);
  for (int i = 0; i < 50; ++i) CHECK(ledger.begin(1s, "t", "k", 7, true).status == BeginStatus::running);
  CHECK(ledger.begin(1s, "t", "k", 8, true).status == BeginStatus::key_reused);
  // Keys of different tenants are distinct.
  CHECK(ledger.begin(1s, "u", "k", 8, true).status == BeginStatus::fresh);
  ledger.record_attempt(first.number);
  ledger.end(2s, first.number, true, RecordedAnswer{200, "application/json", "{}", false});
  const auto again = ledger.begin(3s, "t", "k", 7, true);
  REQUIRE(again.status == BeginStatus::ended);
  REQUIRE(again.answer != nullptr);
  CHECK(again.answer->body == "{}");
}

TEST_CASE("Ledger: a request that may have run never runs again, whether or not its answer is kept") {
  Ledger ledger({10, 100, 50, 60s});
  const auto never = ledger.begin(1s, "t", "a", 1, true);
  ledger.end(1s, never.number, false, std::nullopt);
  CHECK(ledger.begin(1s, "t", "a", 1, true).status == BeginStatus::fresh);
  const auto lost = ledger.begin(1s, "t", "b", 1, true);
  ledger.record_attempt(lost.number);
  ledger.end(1s, lost.number, true, std::nullopt);  // its client disconnected mid-stream
  const auto large = ledger.begin(1s, "t", "c", 1, true);
  ledger.record_attempt(large.number);
  ledger.end(1s, large.number, true, RecordedAnswer{200, "", std::string(51, 'x'), false});
  for (const char* key : {"b", "c"}) {
    const auto again = ledger.begin(60s, "t", key, 1, true);
    CHECK(again.status == BeginStatus::ended);
    CHECK(again.answer == nullptr);
  }
  CHECK(ledger.begin(62s, "t", "b", 1, true).status == BeginStatus::fresh);  // the entry has expired
}

// Guards against a retry that runs again because its first try is only in the ledger of the process before.
TEST_CASE("Ledger: until it is as old as its entries may be, it does not run retries of unknown requests") {
  constexpr Duration kAge = 60s;
  const LedgerLimits limits{3, 1000, 1000, kAge};
  for (const RequestIdentity retry : {RequestIdentity::client_key_retry, RequestIdentity::marked_retry}) {
    Ledger ledger(limits, 100s);
    const auto unknown = ledger.begin(110s, "t", "a", 1, true, retry);
    CHECK(unknown.status == BeginStatus::ended);
    CHECK(unknown.answer == nullptr);
    CHECK(ledger.begin(110s, "t", "a", 1, false, retry).status == BeginStatus::fresh);  // it may run twice
    CHECK(ledger.begin(100s + kAge, "t", "b", 1, true, retry).status == BeginStatus::fresh);
    Ledger complete(limits);
    CHECK(complete.begin(0s, "t", "a", 1, true, retry).status == BeginStatus::fresh);
  }
}

TEST_CASE("Ledger: a young one runs the retry of a request that it knows not to have run") {
  Ledger ledger({3, 1000, 1000, 60s}, 100s);
  const auto run_unexecuted = [&](const char* key, RequestIdentity identity) {
    const auto begun = ledger.begin(110s, "t", key, 1, true, identity);
    REQUIRE(begun.status == BeginStatus::fresh);
    ledger.end(110s, begun.number, false, std::nullopt);
  };
  run_unexecuted("a", RequestIdentity::client_key);
  run_unexecuted("a", RequestIdentity::client_key_retry);
  CHECK(ledger.find("a").empty());  // nothing prevents it from running
  // Such entries make room first, and their retries are then unknown.
  run_unexecuted("b", RequestIdentity::first_try);
  run_unexecuted("c", RequestIdentity::first_try);
  run_unexecuted("d", RequestIdentity::first_try);
  CHECK(ledger.entries() == 3);
  CHECK(ledger.begin(111s, "t", "a", 1, true, RequestIdentity::client_key_retry).status ==
        BeginStatus::ended);
  run_unexecuted("d", RequestIdentity::marked_retry);
  // One that has run in the end is protected as any other.
  const auto executed = ledger.begin(112s, "t", "d", 1, true, RequestIdentity::marked_retry);
  ledger.record_attempt(executed.number);
  ledger.end(112s, executed.number, true, std::nullopt);
  CHECK(ledger.begin(113s, "t", "d", 1, true, RequestIdentity::marked_retry).status == BeginStatus::ended);
  // Once the ledger is old enough, nothing is kept of what has not run.
  const auto later = ledger.begin(170s, "t", "e", 1, true);
  ledger.end(170s, later.number, false, std::nullopt);
  CHECK(ledger.begin(171s, "t", "e", 2, true, RequestIdentity::client_key_retry).status ==
        BeginStatus::fresh);
}

TEST_CASE("Ledger: when full, it evicts repeatable requests and never at-most-once ones") {
  Ledger ledger({3, 1000, 1000, 3600s});
  for (const char* key : {"a", "b"}) {
    const auto once = ledger.begin(1s, "t", key, 1, true);
    ledger.record_attempt(once.number);
    ledger.end(1s, once.number, true, std::nullopt);
  }
  const auto safe = ledger.begin(1s, "t", "s", 1, false);
  ledger.record_attempt(safe.number);
  ledger.end(1s, safe.number, true, RecordedAnswer{200, "", "", false});
  CHECK(ledger.begin(2s, "t", "c", 1, true).status == BeginStatus::fresh);
  CHECK(ledger.begin(2s, "t", "d", 1, true).status == BeginStatus::full);
  CHECK(ledger.begin(2s, "t", "a", 1, true).status == BeginStatus::ended);
  CHECK(ledger.entries() == 3);
}

TEST_CASE("Ledger: a repeatable request whose answer is not kept may run again") {
  Ledger ledger({});
  const auto broken = ledger.begin(1s, "t", "a", 1, false);
  ledger.record_attempt(broken.number);
  ledger.end(1s, broken.number, true, std::nullopt);
  CHECK(ledger.begin(2s, "t", "a", 1, false).status == BeginStatus::fresh);
  CHECK(ledger.entries() == 1);
}

TEST_CASE("Ledger: identical first tries share one entry, so a repeat of a lost one never runs") {
  Ledger ledger({});
  // The first request is lost. An identical second one, also a first try, ends without having run.
  const auto lost = ledger.begin(1s, "t", "same", 1, true, RequestIdentity::first_try);
  ledger.record_attempt(lost.number);
  ledger.end(1s, lost.number, true, std::nullopt);
  const auto twin = ledger.begin(2s, "t", "same", 1, true, RequestIdentity::first_try);
  CHECK(twin.status == BeginStatus::fresh);
  const auto retry = [&ledger](Time now) {
    return ledger.begin(now, "t", "same", 1, true, RequestIdentity::marked_retry);
  };
  CHECK(retry(2s).status == BeginStatus::running);
  ledger.end(3s, twin.number, false, std::nullopt);
  const auto repeat = retry(4s);
  CHECK(repeat.status == BeginStatus::ended);
  CHECK(repeat.answer == nullptr);
  // The answer of a later identical request is not replayed for the lost one.
  const auto third = ledger.begin(5s, "t", "same", 1, true, RequestIdentity::first_try);
  ledger.end(6s, third.number, true, RecordedAnswer{200, "", "done", false});
  CHECK(retry(7s).answer == nullptr);
}

// Guards against the answer of one request for the retry of another: the words of both are the same.
TEST_CASE("Ledger: without a key no answer is stored, and a retry that may be another request's never runs") {
  Ledger ledger({});
  const auto first_try = [&ledger](Time now) {
    return ledger.begin(now, "t", "same", 1, true, RequestIdentity::first_try);
  };
  const auto retry = [&ledger](Time now) {
    return ledger.begin(now, "t", "same", 1, true, RequestIdentity::marked_retry);
  };
  const auto refused_alone = first_try(1s);
  ledger.end(1s, refused_alone.number, false, std::nullopt);
  const auto served = retry(2s);
  CHECK(served.status == BeginStatus::fresh);
  ledger.record_attempt(served.number);
  ledger.end(3s, served.number, true, RecordedAnswer{200, "", "the first one's", false});
  CHECK(ledger.answer_bytes() == 0);
  // Of all the requests with these words, refused or never seen here, this may be the retry of any.
  CHECK(retry(4s).status == BeginStatus::ended);
  CHECK(retry(4s).answer == nullptr);
  const auto refused = first_try(5s);
  CHECK(refused.status == BeginStatus::fresh);
  ledger.end(5s, refused.number, false, std::nullopt);
  CHECK(retry(6s).status == BeginStatus::ended);
  CHECK(retry(6s).answer == nullptr);
}

TEST_CASE("Ledger: entries shown to operators say whether the request may have run") {
  Ledger ledger({});
  const auto first = ledger.begin(1s, "t", "k", 1, true);
  CHECK_FALSE(ledger.find("k").at(0).may_have_run);
  ledger.record_attempt(first.number);
  CHECK(ledger.find("k").at(0).may_have_run);
  ledger.record_attempt(first.number, false);  // the instance rejected it
  CHECK_FALSE(ledger.find("k").at(0).may_have_run);
  ledger.record_attempt(first.number);
  ledger.end(2s, first.number, true, RecordedAnswer{200, "", "{}", false});
  CHECK(ledger.find("k").at(0).status == 200);
  CHECK(ledger.find("other").empty());
}

TEST_CASE("Ledger: random operations against a model: at most one run per key, limits kept") {
  CHECK(rc::check([] {
    const LedgerLimits limits{8, 60, 40, 100s};
    Ledger ledger(limits);
    struct Seen {
      bool written = false, open = true;
      Time ended{0};
    };
    std::map<std::string, Seen> model;  // by key; all must run at most once
    std::map<std::string, Ledger::Number> open;
    Time now = 1s;
    for (int step = 0; step < 80; ++step) {
      now += Duration(*rc::gen::inRange(0, 20'000'000));
      const std::string key(1, char('a' + *rc::gen::inRange(0, 12)));
      const int what = *rc::gen::inRange(0, 3);
      if (what == 0) {
        const auto begun = ledger.begin(now, "t", key, 1, true);
        if (begun.status == BeginStatus::fresh) {
          const auto before = model.find(key);
          // It may run only if it never ran or its entry has expired.
          const bool may_run =
              before == model.end() ||
              (!before->second.open && (!before->second.written || now - before->second.ended >= limits.age));
          RC_ASSERT(may_run);
          model[key] = {};
          open[key] = begun.number;
        } else if (begun.status == BeginStatus::running) {
          RC_ASSERT(open.contains(key));
        }
      } else if (open.contains(key) && what == 1) {
        ledger.record_attempt(open[key]);
        model[key].written = true;
      } else if (open.contains(key)) {
        ledger.end(now, open[key], model[key].written,
                   RecordedAnswer{200, "", std::string(std::size_t(*rc::gen::inRange(0, 50)), 'x'), false});
        model[key].open = false;
        model[key].ended = now;
        open.erase(key);
      }
      RC_ASSERT(ledger.entries() <= limits.entries);
      RC_ASSERT(ledger.answer_bytes() <= limits.answer_bytes);
    }
  }));
}
