// Where a lost answer goes on: the seam, and what a second box's events become. No wire.
#include "recovery/recovery.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "recovery/silence.hpp"

using namespace bankmux::recovery;
using nlohmann::json;

namespace {

// All that a seam lets through of one text in pieces; null where it fails.
std::optional<std::string> joined(const std::string& written, const std::vector<std::string>& pieces,
                                  std::vector<std::string> stops = {}) {
  Seam seam(written, std::move(stops));
  std::string out;
  for (const std::string& piece : pieces) out += seam.feed(piece);
  out += seam.finish();
  if (seam.state() == Seam::State::failed) return std::nullopt;
  return out;
}

std::string event(const json& value) { return "data: " + value.dump() + "\n\n"; }
std::string said(const std::string& id, const std::string& text, const json& finish = nullptr) {
  json delta = {{"content", text}};
  if (id == "first") delta["role"] = "assistant";
  return event({{"id", id},
                {"created", id == "first" ? 1 : 2},
                {"model", "m"},
                {"choices", {{{"index", 0}, {"delta", delta}, {"finish_reason", finish}}}}});
}
const std::string kDone = "data: [DONE]\n\n";

json asked(const json& changes = json::object()) {
  json body = {{"model", "m"}, {"stream", true}, {"messages", {{{"role", "user"}, {"content", "why?"}}}}};
  body.merge_patch(changes);
  return body;
}

std::string text_of(const std::string& events) { return read_events(events, Form::chat).text; }

const std::string kWritten = "The card was refused because its daily limit";

}  // namespace

TEST_CASE(
    "Seam: a box that goes on goes on, and one that repeats all or the last words is cut to what is new") {
  CHECK(joined(kWritten, {" of ", "40 gallons"}) == " of 40 gallons");
  CHECK(joined(kWritten, {kWritten, " of 40"}) == " of 40");
  CHECK(joined(kWritten, {"refused because its daily", " limit of 40"}) == " of 40");
  CHECK(joined("", {"anything"}) == "anything");
  CHECK(joined(kWritten, {}) == "");
}

TEST_CASE("Seam: what can't be told fails rather than garbles") {
  CHECK_FALSE(joined(kWritten, {"The card was refused since"}));  // began anew, and parted ways
  CHECK_FALSE(joined(kWritten, {"daily limit of 40"}));           // 11 bytes: chance or repetition
  CHECK_FALSE(joined("Yes, the", {"Yes, the card"}));             // too short to be sure
  const std::string row = "| --- | --- | --- | --- | --- | --- |";
  CHECK_FALSE(joined(row, {" --- | --- | --- | --- |\n"}));  // several ways to lie on itself
  CHECK(joined(kWritten, {"it is"}) == "it is");             // fewer than 8 bytes agree: chance
}

TEST_CASE("Seam: a stop string that begins before the seam ends the answer behind it") {
  Seam seam("some text\nEN", {"END"});
  CHECK(seam.feed("D and more").empty());
  CHECK(seam.state() == Seam::State::stopped);
  CHECK(joined("some text\nEN", {"T", "ER"}, {"END"}) == "TER");
  CHECK(joined("some text\nE", {"N", "T"}, {"END"}) == "NT");
}

TEST_CASE(
    "Seam: any text cut anywhere, in any pieces, repeated or not: the same text, or a failure that says so") {
  CHECK(rc::check([] {
    // Few letters, so that text often lies on itself.
    const auto text = *rc::gen::container<std::string>(60, rc::gen::elementOf(std::string("abc ")));
    const auto cut = std::size_t(*rc::gen::inRange(0, 61));
    const std::string written = text.substr(0, cut);
    const auto repeated = *rc::gen::elementOf(std::vector<std::size_t>{0, 0, 24, 30, cut});
    const std::size_t from = cut - std::min(cut, repeated);
    std::string rest = text.substr(from);
    std::vector<std::string> pieces;
    while (!rest.empty()) {
      const auto size = std::size_t(*rc::gen::inRange(1, 12));
      pieces.push_back(rest.substr(0, size));
      rest.erase(0, size);
    }
    const auto out = joined(written, pieces);
    const bool sure = from == cut || (from == 0 && cut >= kCertain) || cut - from >= kCertain;
    if (out && sure) RC_ASSERT(written + *out == text);
  }));
}

TEST_CASE("Recovery: a second box's events are those of the first one's answer") {
  Recovery recovery(Way::final_message, Form::chat);
  std::string client = recovery.pass(said("first", kWritten));
  client += recovery.pass("data: {\"error\":{\"message\":\"out of memory\"}}\n\n");
  CHECK_FALSE(recovery.error_event().empty());
  const Next next = recovery.lost(asked({{"max_tokens", 100}, {"temperature", 0.5}}).dump());
  REQUIRE(next.what == Next::What::go_on);
  const json body = json::parse(next.body);
  CHECK(body["messages"].back() == json{{"role", "assistant"}, {"content", kWritten}});
  CHECK(body["continue_final_message"] == true);
  CHECK(body["add_generation_prompt"] == false);
  CHECK(body["max_tokens"] == 100 - next.written);
  CHECK(body["temperature"] == 0.5);
  client += recovery.pass(
      event({{"id", "second"}, {"choices", {{{"index", 0}, {"delta", {{"role", "assistant"}}}}}}}));
  client += recovery.pass(said("second", " of 40 gallons"));
  client += recovery.pass(said("second", " is used up.", "stop"));
  client +=
      recovery.pass(event({{"id", "second"},
                           {"choices", json::array()},
                           {"usage", {{"prompt_tokens", 30 + next.written}, {"completion_tokens", 7}}}}));
  client += recovery.pass(kDone);
  CHECK(text_of(client) == kWritten + " of 40 gallons is used up.");
  CHECK(client.find("second") == std::string::npos);
  CHECK(client.find("\"created\":2") == std::string::npos);
  const auto count = [&client](const std::string& part) {
    int found = 0;
    for (std::size_t at = 0; (at = client.find(part, at)) != std::string::npos; ++at) ++found;
    return found;
  };
  CHECK(count("\"role\"") == 1);
  CHECK(count("\"stop\"") == 1);
  CHECK(count("[DONE]") == 1);
  const json usage = *read_events(client, Form::chat).usage;
  CHECK(usage["prompt_tokens"] == 30);
  CHECK(usage["completion_tokens"] == next.written + 7);
}

TEST_CASE("Recovery: a second loss goes on from all that was written") {
  Recovery recovery(Way::final_message, Form::chat);
  std::string client = recovery.pass(said("first", "One, two, "));
  REQUIRE(recovery.lost(asked().dump()).what == Next::What::go_on);
  client += recovery.pass(said("second", "three, four, five, "));
  const Next again = recovery.lost(asked().dump());
  REQUIRE(again.what == Next::What::go_on);
  CHECK(json::parse(again.body)["messages"].back()["content"] == "One, two, three, four, five, ");
  client += recovery.pass(said("third", "six.", "stop") + kDone);
  CHECK(text_of(client) == "One, two, three, four, five, six.");
}

TEST_CASE("Recovery: what is not sound to continue stays broken, and says why") {
  const std::pair<json, const char*> cases[] = {
      {{{"n", 2}}, "n is above 1"},
      {{{"logprobs", true}}, "logprobs"},
      {{{"seed", 7}}, "seed"},
      {{{"response_format", {{"type", "json_schema"}}}}, "response_format"},
  };
  for (const auto& [changes, why] : cases) {
    Recovery recovery(Way::final_message, Form::chat);
    (void)recovery.pass(said("first", "some words"));
    const Next next = recovery.lost(asked(changes).dump());
    CHECK(next.what == Next::What::end);
    CHECK(std::string(next.reason).find(why) != std::string::npos);
  }
  Recovery tool(Way::final_message, Form::chat);
  (void)tool.pass(event({{"choices", {{{"index", 0}, {"delta", {{"tool_calls", {{{"index", 0}}}}}}}}}}));
  CHECK(tool.lost(asked().dump()).what == Next::What::end);
  Recovery none(Way::none, Form::chat), prompt(Way::prompt, Form::chat),
      long_one(Way::final_message, Form::chat);
  for (Recovery* each : {&none, &prompt}) {
    (void)each->pass(said("first", "some words"));
    CHECK(each->lost(asked().dump()).what == Next::What::end);
  }
  (void)long_one.pass(said("first", std::string(kMostKept, 'x')));
  CHECK(long_one.lost(asked().dump()).what == Next::What::end);
}

TEST_CASE("Recovery: an answer that lacks its end alone, or has used up its limit, is ended without a box") {
  Recovery whole(Way::final_message, Form::chat);
  (void)whole.pass(said("first", "all of it", "stop"));
  const Next next = whole.lost(asked().dump());
  CHECK(next.what == Next::What::finish);
  CHECK(next.bytes == kDone);
  Recovery limit(Way::final_message, Form::chat);
  for (int i = 0; i < 4; ++i) (void)limit.pass(said("first", "w "));
  const Next full = limit.lost(asked({{"max_tokens", 4}}).dump());
  CHECK(full.what == Next::What::finish);
  CHECK(full.bytes.find("\"length\"") != std::string::npos);
}

TEST_CASE("Recovery: completions go on by prompt and text") {
  Recovery recovery(Way::prompt, Form::completion);
  const auto words = [](const char* text) {
    return event({{"id", "c"}, {"choices", {{{"index", 0}, {"text", text}}}}});
  };
  std::string client = recovery.pass(words("in the "));
  const Next next = recovery.lost(R"({"model":"m","prompt":"Once, ","stream":true})");
  REQUIRE(next.what == Next::What::go_on);
  CHECK(json::parse(next.body)["prompt"] == "Once, in the ");
  client += recovery.pass(words("morning"));
  client += recovery.pass(kDone);
  CHECK(read_events(client, Form::completion).text == "in the morning");
  CHECK(Recovery(Way::prompt, Form::completion).lost("nonsense").what == Next::What::end);
}

TEST_CASE("Recovery: a box that begins anew is found out, and nothing of it is given") {
  Recovery recovery(Way::final_message, Form::chat);
  (void)recovery.pass(said("first", kWritten));
  REQUIRE(recovery.lost(asked().dump()).what == Next::What::go_on);
  CHECK(recovery.pass(said("second", "The card was ")).empty());
  CHECK(recovery.pass(said("second", "stolen")).empty());
  CHECK(recovery.failed());
  CHECK(recovery.lost(asked().dump()).what == Next::What::end);
}

namespace {

using namespace std::chrono_literals;

// So many streams at a box, each with an event every `pace`, for so long.
void run(SilenceDetector& silence, eiderarch::EngineId box, int streams, Duration pace, Time& now,
         Duration length) {
  for (const Time end = now + length; now < end; now += pace) {
    for (int i = 0; i < streams; ++i) silence.event(box, now, pace);
  }
}

}  // namespace

TEST_CASE(
    "Silence: a box not known yet gets the full time, and one with a steady pace is looked into early") {
  SilenceDetector silence;
  CHECK(silence.limit(1) == kMostSilence);
  Time now = 100s;
  for (int i = 0; i < 10; ++i) silence.began(1);
  run(silence, 1, 10, 40ms, now, 2s);
  CHECK(silence.limit(1) == kLeastSilence);
  // Ten silent at once is a box; where it writes to the others, one is a stream.
  CHECK(silence.judge(1, now + 600ms, 600ms) == 0s);
  silence.event(1, now + 590ms, 40ms);
  CHECK(silence.judge(1, now + 600ms, 600ms) > 0s);
  CHECK(silence.judge(1, now + 4s, 4s) == 0s);
}

TEST_CASE("Silence: a box whose batches stall is given the time they take") {
  SilenceDetector silence;
  Time now = 100s;
  silence.began(1);
  for (int i = 0; i < 20; ++i) {
    run(silence, 1, 1, 40ms, now, 1s);
    now += 800ms;
    silence.event(1, now, 800ms);
  }
  CHECK(silence.limit(1) >= 1600ms);
}

TEST_CASE(
    "Silence: where the whole fleet is silent, or this process was, no box is blamed before the full time") {
  SilenceDetector silence;
  Time now = 100s;
  for (const eiderarch::EngineId box : {1, 2, 3}) {
    silence.began(box);
    Time since = now;
    run(silence, box, 1, 40ms, since, 4s);
  }
  now += 4s;
  CHECK(silence.judge(1, now + 1s, 1s) == 3s);
  silence.event(2, now + 990ms, 40ms);
  silence.event(3, now + 990ms, 40ms);
  CHECK(silence.judge(1, now + 1s, 1s) == 0s);
}

TEST_CASE("Silence: whatever the gaps, it waits no less than the least and no more than the most") {
  CHECK(rc::check([] {
    SilenceDetector silence;
    Time now = 1s;
    silence.began(1);
    for (int i = 0; i < 120; ++i) {
      const Duration gap(*rc::gen::inRange<std::int64_t>(0, 30'000'000));
      now += gap;
      silence.event(1, now, gap);
      RC_ASSERT(silence.limit(1) >= kLeastSilence);
      RC_ASSERT(silence.limit(1) <= kMostSilence);
    }
    const Duration silent(*rc::gen::inRange<std::int64_t>(0, 10'000'000));
    const Duration more = silence.judge(1, now + silent, silent);
    RC_ASSERT(more >= 0s);
    RC_ASSERT(silent + more <= std::max(silent, kMostSilence));
  }));
}
