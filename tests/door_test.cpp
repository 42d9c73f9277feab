// The door whole: keys, limits, shares and the ledger together, without a wire.
#include "admission/door.hpp"

#include <rapidcheck.h>
#include <sys/stat.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <map>

#include "admission/share.hpp"
#include "config/appliance.hpp"
#include "config/keys_file.hpp"
#include "net/openai/admitted.hpp"
#include "net/openai/door_answers.hpp"
#include "net/openai/errors.hpp"

using namespace bankmux;
using namespace bankmux::admission;
using namespace std::chrono_literals;

namespace {

const std::string kSecret(2 * kSecretBytes, 'a');

Key key(const std::string& id, const std::string& tenant, Limits limits = {}) {
  Key made{id, tenant, {}, limits, {}, {}};
  made.salt.fill(static_cast<unsigned char>(id.front()));
  made.hash = hash_secret(made.salt, kSecret);
  return made;
}

const std::string kOne = "00000000000a", kTwo = "00000000000b";

Door door_of(std::vector<Key> keys, DoorLimits limits = {}) {
  Door door(limits);
  door.keys(KeyRing(std::move(keys)));
  return door;
}

Knock ajuste(const std::string& idempotency, std::uint64_t digest = 1) {
  Knock knock;
  knock.once = true;
  knock.reserve = 100;
  knock.key = idempotency;
  knock.digest = digest;
  return knock;
}

}  // namespace

TEST_CASE("Keys: one is known by its ID and its secret, and anything else is not") {
  const KeyRing ring({key(kOne, "norte"), key(kTwo, "sur")});
  REQUIRE(ring.check(join_key(kTwo, kSecret)) != nullptr);
  CHECK(ring.check(join_key(kTwo, kSecret))->tenant == "sur");
  std::string wrong = kSecret;
  wrong.back() = 'b';
  for (const std::string& text :
       {join_key(kTwo, wrong), join_key("00000000000c", kSecret), std::string(), std::string("bmx-"),
        join_key(kTwo, kSecret) + "a", join_key(kTwo, kSecret).substr(1), std::string(100'000, 'x'),
        "BMX-" + kTwo + "-" + kSecret}) {
    CHECK(ring.check(text) == nullptr);
  }
  CHECK_THROWS_WITH(KeyRing({key(kOne, "a"), key(kOne, "b")}), Catch::Contains(kOne));
}

TEST_CASE("Keys: the same secret under two salts has two hashes, and none holds the secret") {
  CHECK(key(kOne, "t").hash != key("100000000000", "t").hash);
  const std::string file = config::keys_json({key(kOne, "t")}).dump();
  CHECK(file.find(kSecret) == std::string::npos);
}

TEST_CASE("Key file: written for its owner alone, read back the same, refused where others may read it") {
  const std::string path = "keys-" + std::to_string(::getpid()) + ".json";
  Key made = key(kOne, "norte", {60, 10'000, 4});
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

TEST_CASE("Tenants reach the module in order, with what their keys allow together, and no limit is none") {
  config::Appliance appliance;
  config::set_keys(appliance,
                   {key("000000000001", "sur", {60, 0, 0}), key("000000000002", "sur", {120, 0, 0}),
                    key("000000000003", "norte", {60, 0, 0}), key("000000000004", "norte")});
  REQUIRE(appliance.tenants == std::vector<std::string>{"norte", "sur"});
  CHECK(appliance.module.tenants[0].quota_per_second == 0.0);
  CHECK(appliance.module.tenants[1].quota_per_second == Approx(3.0));
  CHECK(appliance.tenant_number("sur") == 1);
  CHECK(appliance.tenant_number("later") == 2);
}

TEST_CASE("Share: a flood leaves a place for who comes next, however many flood") {
  for (const std::size_t floods : {1U, 2U, 5U}) {
    const std::size_t most = 100;
    std::vector<std::size_t> held(floods, 0);
    std::size_t all = 0;
    for (int round = 0; round < 200; ++round) {
      for (std::size_t& own : held) {
        if (!may_hold(own, {most, all, floods})) continue;
        ++own;
        ++all;
      }
    }
    CHECK(all >= most / 2);
    CHECK(all < most);
    CHECK(may_hold(0, {most, all, floods + 1}));
  }
}

TEST_CASE(
    "Door: a limited key hears when to return, and what is turned away costs nothing, and others go on") {
  Door door = door_of({key(kOne, "norte", {2, 1000, 0}), key(kTwo, "sur")});
  const Caller norte = *door.identify(join_key(kOne, kSecret)), sur = *door.identify(join_key(kTwo, kSecret));
  Knock knock;
  knock.reserve = 600;
  const Pass first = door.knock(1s, norte, knock);
  CHECK(first.entry == Entry::admit);
  const Pass tokens = door.knock(1s, norte, knock);
  CHECK(tokens.entry == Entry::limited);
  CHECK(tokens.limited == Limited::tokens);
  CHECK(tokens.wait > 0s);
  CHECK(tokens.standing.left_tokens == 400);
  knock.reserve = 10;
  CHECK(door.knock(1s, norte, knock).entry == Entry::admit);
  const Pass requests = door.knock(1s, norte, knock);
  CHECK(requests.limited == Limited::requests);
  CHECK(door.knock(1s, sur, knock).entry == Entry::admit);
  // The first never ran: a request and its tokens are there again.
  door.ended(1s, first.ticket, {});
  CHECK(door.knock(1s, norte, knock).entry == Entry::admit);
  CHECK(door.tenants().at("norte").limited == 2);
}

TEST_CASE("Door: one tenant's flood is held to its part of the table, and a newcomer is let in") {
  DoorLimits limits;
  limits.most_open = 20;
  Door door = door_of({key(kOne, "norte"), key(kTwo, "sur")}, limits);
  const Caller norte = *door.identify(join_key(kOne, kSecret)), sur = *door.identify(join_key(kTwo, kSecret));
  int admitted = 0;
  for (int i = 0; i < 100; ++i) admitted += door.knock(1s, norte, {}).entry == Entry::admit;
  CHECK(admitted == 15);
  CHECK(door.knock(1s, norte, {}).entry == Entry::over_share);
  // The newcomer, under its share, comes before the flood goes on.
  for (int i = 0; i < 4; ++i) CHECK(door.knock(1s, sur, {}).entry == Entry::admit);
  CHECK(door.knock(1s, norte, {}).entry == Entry::over_share);
}

TEST_CASE("Door: a repeat is held off, answered or told that the outcome is unknown, and never runs") {
  Door door = door_of({key(kOne, "norte", {0, 0, 1}), key(kTwo, "sur")});
  const Caller norte = *door.identify(join_key(kOne, kSecret)), sur = *door.identify(join_key(kTwo, kSecret));
  const Pass first = door.knock(1s, norte, ajuste("k"));
  REQUIRE(first.entry == Entry::admit);
  door.sent(first.ticket);
  for (int i = 0; i < 50; ++i) CHECK(door.knock(1s, norte, ajuste("k")).entry == Entry::in_progress);
  CHECK(door.knock(1s, norte, ajuste("k", 2)).entry == Entry::other_body);
  CHECK(door.knock(1s, sur, ajuste("k", 2)).entry == Entry::admit);  // another tenant's key is another
  door.ended(2s, first.ticket, {true, 80, 200, Recorded{200, "application/json", "{}", false}});
  const Pass again = door.knock(3s, norte, ajuste("k"));
  CHECK(again.entry == Entry::replay);
  REQUIRE(again.answer != nullptr);
  const Pass left = door.knock(4s, norte, ajuste("left mid-stream"));
  door.sent(left.ticket);
  door.ended(4s, left.ticket, {true, std::nullopt, 200, std::nullopt});
  const Pass unknown = door.knock(5s, norte, ajuste("left mid-stream"));
  CHECK(unknown.entry == Entry::replay);
  CHECK(unknown.answer == nullptr);
}

TEST_CASE("Door: a first try without a key always runs, its marked repeat never does") {
  Door door({});
  Knock knock = ajuste("");
  knock.session = 7;
  const Pass one = door.knock(1s, {}, knock), two = door.knock(1s, {}, knock);
  CHECK(one.entry == Entry::admit);
  CHECK(two.entry == Entry::admit);
  door.ended(1s, one.ticket, {true, std::nullopt, 0, std::nullopt});
  knock.retry = 1;
  CHECK(door.knock(2s, {}, knock).entry == Entry::in_progress);
  door.ended(3s, two.ticket, {});
  CHECK(door.knock(4s, {}, knock).entry == Entry::replay);
  knock.digest = 2;  // other words: nothing is known of them
  CHECK(door.knock(4s, {}, knock).entry == Entry::admit);
}

TEST_CASE("Door: a full ledger refuses who asks for protection, where running twice would do harm") {
  DoorLimits limits;
  limits.ledger.entries = 1;
  Door door(limits);
  CHECK(door.knock(1s, {}, ajuste("a")).entry == Entry::admit);
  CHECK(door.knock(1s, {}, ajuste("b")).entry == Entry::unprotected);
  Knock safe;
  safe.key = "c";
  CHECK(door.knock(1s, {}, safe).entry == Entry::admit);
  CHECK(door.ledger().entries() == 1);
}

TEST_CASE("Door: a box's usage may be missing, absurd or far above the estimate, and settles within bounds") {
  Door door = door_of({key(kOne, "norte", {0, 1000, 0})});
  const Caller norte = *door.identify(join_key(kOne, kSecret));
  struct Case {
    std::optional<Tokens> used;
    std::int64_t left;
  };
  Time now = 0s;
  for (const Case& c :
       {Case{std::nullopt, 900}, Case{-5, 1000}, Case{1'000'000'000'000'000'000, 500}, Case{300, 700}}) {
    now += 10min;
    const Pass pass = door.knock(now, norte, ajuste(""));
    REQUIRE(pass.entry == Entry::admit);
    door.ended(now, pass.ticket, {true, c.used, 500, std::nullopt});
    CHECK(door.limiter().standing(now, kOne, norte.key->limits).left_tokens == c.left);
  }
  using net::openai::usage_in;
  CHECK(usage_in(R"({"usage":{"prompt_tokens":10,"completion_tokens":5}})") == 15);
  CHECK(usage_in(
            R"({"type":"response.completed","response":{"usage":{"input_tokens":1,"output_tokens":2}}})") ==
        3);
  CHECK(usage_in(R"({"c":["a \"usage\": {"], "usage" : {"d":{"x":"}\""},"total_tokens":7}, "x":1})") == 7);
  for (const char* none :
       {"", "[]", R"(usage")", R"({"usage":{"total_tokens":3)", R"({"x":"usage"})", R"({"usage":null})",
        R"({"usage":{"prompt_tokens":-1,"completion_tokens":5}})",
        R"({"usage":{"prompt_tokens":"9","completion_tokens":1}})", R"({"usage":{"total_tokens":-3}})"}) {
    CHECK_FALSE(usage_in(none).has_value());
  }
  CHECK(usage_in(R"({"usage":{"prompt_tokens":1e300,"completion_tokens":1}})") == Tokens(1e15) + 1);
}

TEST_CASE("Door: limits that change while a request runs give back what was taken, no more") {
  Door door = door_of({key(kOne, "norte", {0, 1000, 0})});
  const Pass pass = door.knock(1s, *door.identify(join_key(kOne, kSecret)), ajuste(""));
  const Limits later{0, 2000, 0};
  door.keys(KeyRing({key(kOne, "norte", later)}));
  door.ended(1s, pass.ticket, {});
  CHECK(door.limiter().standing(1s, kOne, later).left_tokens == 2000);
  // And one whose key is gone ends as it would.
  const Pass gone = door.knock(1s, *door.identify(join_key(kOne, kSecret)), ajuste("k"));
  door.sent(gone.ticket);
  door.keys(KeyRing({key(kTwo, "sur")}));
  CHECK_FALSE(door.identify(join_key(kOne, kSecret)).has_value());
  door.ended(2s, gone.ticket, {true, 10, 100, Recorded{200, "", "x", false}});
  CHECK(door.limiter().open(kOne) == 0);
}

TEST_CASE("Door: a random walk against a plain model: one run a key, and nothing reserved at rest") {
  CHECK(rc::check([] {
    DoorLimits limits;
    limits.ledger = {6, 100, 50, 1000s};
    limits.most_open = 8;
    const Limits each{1000, 50'000, 6};
    Door door = door_of({key(kOne, "norte", each), key(kTwo, "sur", each)}, limits);
    struct Open {
      Ticket ticket;
      std::string key;
      bool sent = false;
    };
    std::vector<Open> open;
    std::map<std::string, bool> may_have_run;  // by tenant and key; an open one holds the key
    Time now = 1s;
    for (int step = 0; step < 100; ++step) {
      now += Duration(*rc::gen::inRange(0, 1'000'000));
      const int what = *rc::gen::inRange(0, 4);
      if (what <= 1 || open.empty()) {
        const std::string& id = *rc::gen::arbitrary<bool>() ? kOne : kTwo;
        const std::string name(1, char('a' + *rc::gen::inRange(0, 6)));
        const Pass pass = door.knock(now, *door.identify(join_key(id, kSecret)), ajuste(name));
        const std::string whole = id + name;
        if (pass.entry == Entry::admit) {
          RC_ASSERT(!may_have_run[whole]);
          for (const Open& other : open) RC_ASSERT(other.key != whole);
          open.push_back({pass.ticket, whole});
        } else if (pass.entry == Entry::replay) {
          RC_ASSERT(may_have_run[whole]);
        }
      } else {
        const auto at = std::size_t(*rc::gen::inRange(0, int(open.size())));
        Open& one = open[at];
        if (what == 2) {
          one.sent = !one.sent;  // sent, or turned away by its box
          door.sent(one.ticket, one.sent);
        } else {
          std::optional<Recorded> answer;
          if (one.sent && *rc::gen::arbitrary<bool>())
            answer = Recorded{200, "", std::string(40, 'x'), false};
          may_have_run[one.key] = one.sent;
          door.ended(now, one.ticket, {one.sent, *rc::gen::inRange<Tokens>(-10, 10'000), 150, answer});
          open.erase(open.begin() + std::ptrdiff_t(at));
        }
      }
      RC_ASSERT(open.size() <= limits.most_open);
      RC_ASSERT(door.ledger().entries() <= limits.ledger.entries);
    }
    for (const Open& one : open) door.ended(now, one.ticket, {});
    now += 10min;
    for (const std::string& id : {kOne, kTwo}) {
      RC_ASSERT(door.limiter().open(id) == 0);
      RC_ASSERT(door.limiter().standing(now, id, each).left_tokens == each.tokens_per_minute);
    }
    for (const auto& [name, use] : door.tenants()) RC_ASSERT(use.open == 0U);
  }));
}

TEST_CASE("Door answers: what a client's library reads") {
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
  Pass pass;
  pass.entry = Entry::replay;
  CHECK(std::string(tell(pass).code) == "outcome_unknown");
  CHECK_FALSE(tell(pass).should_retry);
}
