// Admission control as a whole: API keys, rate limits, tenant shares and the ledger together, without
// sockets.
#include "admission/admission_control.hpp"

#include <rapidcheck.h>
#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <map>

#include "admission/share.hpp"
#include "config/appliance.hpp"
#include "config/keys_file.hpp"
#include "net/openai/admission_replies.hpp"
#include "net/openai/errors.hpp"
#include "net/openai/request_account.hpp"

using namespace bankmux;
using namespace bankmux::admission;
using namespace std::chrono_literals;

namespace {

const std::string kSecret(2 * kSecretBytes, 'a');

Key make_key(const std::string& id, const std::string& tenant, Limits limits = {}) {
  Key made{id, tenant, {}, limits, {}, {}};
  made.salt.fill(static_cast<unsigned char>(id.front()));
  made.hash = hash_secret(made.salt, kSecret);
  return made;
}

const std::string kFirstId = "00000000000a", kSecondId = "00000000000b";

AdmissionControl make_door(std::vector<Key> keys, AdmissionLimits limits = {}) {
  AdmissionControl control(limits);
  control.keys(ApiKeySet(std::move(keys)));
  return control;
}

AdmissionRequest at_most_once_request(const std::string& idempotency, std::uint64_t digest = 1) {
  AdmissionRequest request;
  request.once = true;
  request.reserved_tokens = 100;
  request.idempotency_key = idempotency;
  request.digest = digest;
  return request;
}

}  // namespace

TEST_CASE("Keys: a key is accepted only with a known ID and its exact secret") {
  const ApiKeySet key_set({make_key(kFirstId, "norte"), make_key(kSecondId, "sur")});
  REQUIRE(key_set.check(format_key(kSecondId, kSecret)) != nullptr);
  CHECK(key_set.check(format_key(kSecondId, kSecret))->tenant == "sur");
  std::string wrong = kSecret;
  wrong.back() = 'b';
  for (const std::string& text :
       {format_key(kSecondId, wrong), format_key("00000000000c", kSecret), std::string(), std::string("bmx-"),
        format_key(kSecondId, kSecret) + "a", format_key(kSecondId, kSecret).substr(1),
        std::string(100'000, 'x'), "BMX-" + kSecondId + "-" + kSecret}) {
    CHECK(key_set.check(text) == nullptr);
  }
  CHECK_THROWS_WITH(ApiKeySet({make_key(kFirstId, "a"), make_key(kFirstId, "b")}), Catch::Contains(kFirstId));
}

TEST_CASE(
    "Keys: the same secret with two salts has two hashes, and the key file does not contain the secret") {
  CHECK(make_key(kFirstId, "t").hash != make_key("100000000000", "t").hash);
  const std::string file = config::keys_json({make_key(kFirstId, "t")}).dump();
  CHECK(file.find(kSecret) == std::string::npos);
}

TEST_CASE("Key file: written with mode 0600, read back unchanged, and refused if others can read it") {
  const std::string path = "keys-" + std::to_string(::getpid()) + ".json";
  Key made = make_key(kFirstId, "norte", {60, 10'000, 4});
  made.models = {"consulta"};
  config::write_keys(path, {made});
  struct stat status {};
  REQUIRE(::stat(path.c_str(), &status) == 0);
  CHECK((status.st_mode & 0777) == 0600);
  const std::vector<Key> read = config::read_keys(path);
  REQUIRE(read.size() == 1);
  CHECK(read[0].hash == made.hash);
  CHECK(read[0].models == made.models);
  CHECK(read[0].limits.tokens_per_minute == 10'000);
  ::chmod(path.c_str(), 0640);
  CHECK_THROWS_WITH(config::read_keys(path), Catch::Contains("0640"));
  ::chmod(path.c_str(), 0600);
  std::ofstream(path) << R"({"keys":[{"id":"00000000000a","tenant":"x","salt":"zz","hash":""}]})";
  CHECK_THROWS_WITH(config::read_keys(path), Catch::Contains("salt"));
  std::remove(path.c_str());
}

TEST_CASE("Tenants: passed in order with the sum of their keys' quotas, and unlimited if any key is") {
  config::Appliance appliance;
  config::set_keys(appliance,
                   {make_key("000000000001", "sur", {60, 0, 0}), make_key("000000000002", "sur", {120, 0, 0}),
                    make_key("000000000003", "norte", {60, 0, 0}), make_key("000000000004", "norte")});
  REQUIRE(appliance.tenants == std::vector<std::string>{"norte", "sur"});
  CHECK(appliance.module.tenants[0].quota_per_second == 0.0);
  CHECK(appliance.module.tenants[1].quota_per_second == Approx(3.0));
  CHECK(appliance.tenant_index("sur") == 1);
  CHECK(appliance.tenant_index("later") == 2);
}

TEST_CASE("Share: tenants that flood the table leave a slot for a new tenant, however many flood it") {
  for (const std::size_t flooding_tenants : {1U, 2U, 5U}) {
    const std::size_t capacity = 100;
    std::vector<std::size_t> used(flooding_tenants, 0);
    std::size_t total = 0;
    for (int round = 0; round < 200; ++round) {
      for (std::size_t& used_by_one : used) {
        if (!may_take_slot(used_by_one, {capacity, total, flooding_tenants})) continue;
        ++used_by_one;
        ++total;
      }
    }
    CHECK(total >= capacity / 2);
    CHECK(total < capacity);
    CHECK(may_take_slot(0, {capacity, total, flooding_tenants + 1}));
  }
}

TEST_CASE("Admission control: a rate-limited key gets a wait, and a rejected request costs nothing") {
  AdmissionControl control =
      make_door({make_key(kFirstId, "norte", {2, 1000, 0}), make_key(kSecondId, "sur")});
  const Caller norte = *control.identify(format_key(kFirstId, kSecret)),
               sur = *control.identify(format_key(kSecondId, kSecret));
  AdmissionRequest request;
  request.reserved_tokens = 600;
  const AdmissionResult first = control.admit(1s, norte, request);
  CHECK(first.status == AdmissionStatus::admitted);
  const AdmissionResult tokens = control.admit(1s, norte, request);
  CHECK(tokens.status == AdmissionStatus::limited);
  CHECK(tokens.limited == ExceededLimit::tokens);
  CHECK(tokens.wait > 0s);
  CHECK(tokens.limit_status.remaining_tokens == 400);
  request.reserved_tokens = 10;
  CHECK(control.admit(1s, norte, request).status == AdmissionStatus::admitted);
  const AdmissionResult requests = control.admit(1s, norte, request);
  CHECK(requests.limited == ExceededLimit::requests);
  CHECK(control.admit(1s, sur, request).status == AdmissionStatus::admitted);
  // The first request never ran, so its request and its tokens are refunded.
  control.request_ended(1s, first.ticket, {});
  CHECK(control.admit(1s, norte, request).status == AdmissionStatus::admitted);
  CHECK(control.tenants().at("norte").limited == 2);
}

TEST_CASE("Admission control: a flooding tenant is held to its share, and a new tenant is admitted") {
  AdmissionLimits limits;
  limits.max_open_requests = 20;
  AdmissionControl control = make_door({make_key(kFirstId, "norte"), make_key(kSecondId, "sur")}, limits);
  const Caller norte = *control.identify(format_key(kFirstId, kSecret)),
               sur = *control.identify(format_key(kSecondId, kSecret));
  int admitted = 0;
  for (int i = 0; i < 100; ++i) admitted += control.admit(1s, norte, {}).status == AdmissionStatus::admitted;
  CHECK(admitted == 15);
  CHECK(control.admit(1s, norte, {}).status == AdmissionStatus::over_share);
  // The new tenant is below its share and is admitted; the flooding tenant still is not.
  for (int i = 0; i < 4; ++i) CHECK(control.admit(1s, sur, {}).status == AdmissionStatus::admitted);
  CHECK(control.admit(1s, norte, {}).status == AdmissionStatus::over_share);
}

TEST_CASE(
    "Admission control: a repeat is deferred, replayed or reported as outcome unknown, and never runs") {
  AdmissionControl control = make_door({make_key(kFirstId, "norte", {0, 0, 1}), make_key(kSecondId, "sur")});
  const Caller norte = *control.identify(format_key(kFirstId, kSecret)),
               sur = *control.identify(format_key(kSecondId, kSecret));
  const AdmissionResult first = control.admit(1s, norte, at_most_once_request("k"));
  REQUIRE(first.status == AdmissionStatus::admitted);
  control.record_attempt(first.ticket);
  for (int i = 0; i < 50; ++i)
    CHECK(control.admit(1s, norte, at_most_once_request("k")).status == AdmissionStatus::in_progress);
  CHECK(control.admit(1s, norte, at_most_once_request("k", 2)).status == AdmissionStatus::key_reused);
  // Keys of different tenants are distinct.
  CHECK(control.admit(1s, sur, at_most_once_request("k", 2)).status == AdmissionStatus::admitted);
  control.request_ended(2s, first.ticket,
                        {true, 80, 200, RecordedAnswer{200, "application/json", "{}", false}});
  const AdmissionResult again = control.admit(3s, norte, at_most_once_request("k"));
  CHECK(again.status == AdmissionStatus::replay);
  REQUIRE(again.answer != nullptr);
  const AdmissionResult left = control.admit(4s, norte, at_most_once_request("left mid-stream"));
  control.record_attempt(left.ticket);
  control.request_ended(4s, left.ticket, {true, std::nullopt, 200, std::nullopt});
  const AdmissionResult unknown = control.admit(5s, norte, at_most_once_request("left mid-stream"));
  CHECK(unknown.status == AdmissionStatus::replay);
  CHECK(unknown.answer == nullptr);
}

TEST_CASE("Admission control: a first try without a key always runs, and its marked retry never does") {
  AdmissionControl control({});
  AdmissionRequest request = at_most_once_request("");
  request.session = 7;
  const AdmissionResult one = control.admit(1s, {}, request), two = control.admit(1s, {}, request);
  CHECK(one.status == AdmissionStatus::admitted);
  CHECK(two.status == AdmissionStatus::admitted);
  control.request_ended(1s, one.ticket, {true, std::nullopt, 0, std::nullopt});
  request.retry_count = 1;
  CHECK(control.admit(2s, {}, request).status == AdmissionStatus::in_progress);
  control.request_ended(3s, two.ticket, {});
  CHECK(control.admit(4s, {}, request).status == AdmissionStatus::replay);
  request.digest = 2;  // a different body has no ledger entry
  CHECK(control.admit(4s, {}, request).status == AdmissionStatus::admitted);
}

// Guards against a request that no instance ran and whose retry gets the answer of an identical one. What
// refuses its first try, if the ledger sees that at all, makes no difference.
TEST_CASE("Admission control: a marked retry without a key never gets the answer of an identical request") {
  AdmissionControl control = make_door({make_key(kFirstId, "norte", {2, 0, 0})});
  const Caller norte = *control.identify(format_key(kFirstId, kSecret));
  AdmissionRequest request = at_most_once_request("");
  request.session = 7;
  const AdmissionResult first = control.admit(1s, norte, request);
  REQUIRE(first.status == AdmissionStatus::admitted);
  control.record_attempt(first.ticket);
  control.request_ended(1s, first.ticket, {true, 10, 10, RecordedAnswer{200, "", "its answer", false}});
  const auto check_retry = [&](Time now) {
    AdmissionRequest retry = request;
    retry.retry_count = 1;
    const AdmissionResult result = control.admit(now, norte, retry);
    CHECK(result.status == AdmissionStatus::replay);
    CHECK(result.answer == nullptr);
    CHECK(std::string(net::openai::error_reply(result).code) == "outcome_unknown");
  };
  check_retry(2s);  // its first try never came here
  const AdmissionResult turned_away = control.admit(2s, norte, request);
  REQUIRE(turned_away.status == AdmissionStatus::admitted);
  control.record_attempt(turned_away.ticket);
  control.record_attempt(turned_away.ticket, false);
  control.request_ended(2s, turned_away.ticket, {});
  check_retry(3s);  // its first try was turned away by every instance
  while (control.admit(3s, norte, request).status == AdmissionStatus::admitted) continue;
  CHECK(control.admit(3s, norte, request).status == AdmissionStatus::limited);
}

TEST_CASE("Admission control: a full ledger rejects an at-most-once request that has a key") {
  AdmissionLimits limits;
  limits.ledger.entries = 1;
  AdmissionControl control(limits);
  CHECK(control.admit(1s, {}, at_most_once_request("a")).status == AdmissionStatus::admitted);
  CHECK(control.admit(1s, {}, at_most_once_request("b")).status == AdmissionStatus::ledger_full);
  AdmissionRequest safe;
  safe.idempotency_key = "c";
  CHECK(control.admit(1s, {}, safe).status == AdmissionStatus::admitted);
  CHECK(control.ledger().entries() == 1);
}

TEST_CASE("Admission control: a missing, absurd or excessive usage figure is settled within bounds") {
  AdmissionControl control = make_door({make_key(kFirstId, "norte", {0, 1000, 0})});
  const Caller norte = *control.identify(format_key(kFirstId, kSecret));
  struct Case {
    std::optional<Tokens> used;
    std::int64_t left;
  };
  Time now = 0s;
  for (const Case& c :
       {Case{std::nullopt, 900}, Case{-5, 1000}, Case{1'000'000'000'000'000'000, 500}, Case{300, 700}}) {
    now += 10min;
    const AdmissionResult result = control.admit(now, norte, at_most_once_request(""));
    REQUIRE(result.status == AdmissionStatus::admitted);
    control.request_ended(now, result.ticket, {true, c.used, 500, std::nullopt});
    CHECK(control.limiter().limit_status(now, kFirstId, norte.key->limits).remaining_tokens == c.left);
  }
  using net::openai::find_usage;
  CHECK(find_usage(R"({"usage":{"prompt_tokens":10,"completion_tokens":5}})") == 15);
  CHECK(find_usage(
            R"({"type":"response.completed","response":{"usage":{"input_tokens":1,"output_tokens":2}}})") ==
        3);
  CHECK(find_usage(R"({"c":["a \"usage\": {"], "usage" : {"d":{"x":"}\""},"total_tokens":7}, "x":1})") == 7);
  for (const char* none :
       {"", "[]", R"(usage")", R"({"usage":{"total_tokens":3)", R"({"x":"usage"})", R"({"usage":null})",
        R"({"usage":{"prompt_tokens":-1,"completion_tokens":5}})",
        R"({"usage":{"prompt_tokens":"9","completion_tokens":1}})", R"({"usage":{"total_tokens":-3}})"}) {
    CHECK_FALSE(find_usage(none).has_value());
  }
  CHECK(find_usage(R"({"usage":{"prompt_tokens":1e300,"completion_tokens":1}})") == Tokens(1e15) + 1);
}

TEST_CASE("Admission control: limits that change while a request runs refund what was charged and no more") {
  AdmissionControl control = make_door({make_key(kFirstId, "norte", {0, 1000, 0})});
  const AdmissionResult result =
      control.admit(1s, *control.identify(format_key(kFirstId, kSecret)), at_most_once_request(""));
  const Limits later{0, 2000, 0};
  control.keys(ApiKeySet({make_key(kFirstId, "norte", later)}));
  control.request_ended(1s, result.ticket, {});
  CHECK(control.limiter().limit_status(1s, kFirstId, later).remaining_tokens == 2000);
  // A request whose key has been revoked meanwhile ends normally.
  const AdmissionResult gone =
      control.admit(1s, *control.identify(format_key(kFirstId, kSecret)), at_most_once_request("k"));
  control.record_attempt(gone.ticket);
  control.keys(ApiKeySet({make_key(kSecondId, "sur")}));
  CHECK_FALSE(control.identify(format_key(kFirstId, kSecret)).has_value());
  control.request_ended(2s, gone.ticket, {true, 10, 100, RecordedAnswer{200, "", "x", false}});
  CHECK(control.limiter().open(kFirstId) == 0);
}

TEST_CASE(
    "Admission control: random operations against a model: one run per key, nothing reserved at the end") {
  CHECK(rc::check([] {
    AdmissionLimits limits;
    limits.ledger = {6, 100, 50, 1000s};
    limits.max_open_requests = 8;
    const Limits each{1000, 50'000, 6};
    AdmissionControl control =
        make_door({make_key(kFirstId, "norte", each), make_key(kSecondId, "sur", each)}, limits);
    struct Open {
      Ticket ticket;
      std::string key;
      bool sent = false;
    };
    std::vector<Open> open;
    std::map<std::string, bool> may_have_run;  // by tenant and key; an open request holds the key
    Time now = 1s;
    for (int step = 0; step < 100; ++step) {
      now += Duration(*rc::gen::inRange(0, 1'000'000));
      const int what = *rc::gen::inRange(0, 4);
      if (what <= 1 || open.empty()) {
        const std::string& id = *rc::gen::arbitrary<bool>() ? kFirstId : kSecondId;
        const std::string name(1, char('a' + *rc::gen::inRange(0, 6)));
        const AdmissionResult result =
            control.admit(now, *control.identify(format_key(id, kSecret)), at_most_once_request(name));
        const std::string whole = id + name;
        if (result.status == AdmissionStatus::admitted) {
          RC_ASSERT(!may_have_run[whole]);
          for (const Open& other : open) RC_ASSERT(other.key != whole);
          open.push_back({result.ticket, whole});
        } else if (result.status == AdmissionStatus::replay) {
          RC_ASSERT(may_have_run[whole]);
        }
      } else {
        const auto at = std::size_t(*rc::gen::inRange(0, int(open.size())));
        Open& one = open[at];
        if (what == 2) {
          one.sent = !one.sent;  // sent, or rejected by its instance
          control.record_attempt(one.ticket, one.sent);
        } else {
          std::optional<RecordedAnswer> answer;
          if (one.sent && *rc::gen::arbitrary<bool>())
            answer = RecordedAnswer{200, "", std::string(40, 'x'), false};
          may_have_run[one.key] = one.sent;
          control.request_ended(now, one.ticket,
                                {one.sent, *rc::gen::inRange<Tokens>(-10, 10'000), 150, answer});
          open.erase(open.begin() + std::ptrdiff_t(at));
        }
      }
      RC_ASSERT(open.size() <= limits.max_open_requests);
      RC_ASSERT(control.ledger().entries() <= limits.ledger.entries);
    }
    for (const Open& one : open) control.request_ended(now, one.ticket, {});
    now += 10min;
    for (const std::string& id : {kFirstId, kSecondId}) {
      RC_ASSERT(control.limiter().open(id) == 0);
      RC_ASSERT(control.limiter().limit_status(now, id, each).remaining_tokens == each.tokens_per_minute);
    }
    for (const auto& [name, use] : control.tenants()) RC_ASSERT(use.open == 0U);
  }));
}

TEST_CASE("Admission control: the headers and codes that client libraries read") {
  using namespace net::openai;
  CHECK(reset_text(0s) == "0ms");
  CHECK(reset_text(350ms) == "350ms");
  CHECK(reset_text(1500ms) == "1.5s");
  CHECK(reset_text(6min) == "6m0s");
  CHECK(idempotency_key({{"idempotency-key", "a-1"}}) == "a-1");
  CHECK(idempotency_key({}).empty());
  CHECK_THROWS_AS(idempotency_key({{"Idempotency-Key", "a"}, {"Idempotency-Key", "a"}}), RequestError);
  for (const std::string& bad :
       {std::string(), std::string("a b"), std::string(256, 'x'), std::string("\xc3\xb1")}) {
    CHECK_THROWS_AS(idempotency_key({{"Idempotency-Key", bad}}), RequestError);
  }
  AdmissionResult result;
  result.status = AdmissionStatus::replay;
  CHECK(std::string(error_reply(result).code) == "outcome_unknown");
  CHECK_FALSE(error_reply(result).should_retry);
}
