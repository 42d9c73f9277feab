// Recovery of interrupted answers without sockets: splicing the continuation, rewriting its events, and
// detecting silent instances.
#include "recovery/recovery.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "recovery/failure_detector.hpp"

using namespace bankmux::recovery;
using nlohmann::json;

namespace {

// All that the splicer releases of a text that arrives in pieces; nullopt if it fails.
std::optional<std::string> splice_all(const std::string& written, const std::vector<std::string>& pieces,
                                      std::vector<std::string> stops = {}) {
  ContinuationSplicer splicer(written, std::move(stops));
  std::string out;
  for (const std::string& piece : pieces) out += splicer.feed(piece);
  out += splicer.finish();
  if (splicer.state() == ContinuationSplicer::State::failed) return std::nullopt;
  return out;
}

std::string event(const json& value) { return "data: " + value.dump() + "\n\n"; }
std::string content_event(const std::string& id, const std::string& text, const json& finish = nullptr) {
  json delta = {{"content", text}};
  if (id == "first") delta["role"] = "assistant";
  return event({{"id", id},
                {"created", id == "first" ? 1 : 2},
                {"model", "m"},
                {"choices", {{{"index", 0}, {"delta", delta}, {"finish_reason", finish}}}}});
}
const std::string kDoneEvent = "data: [DONE]\n\n";

json request(const json& changes = json::object()) {
  json body = {{"model", "m"}, {"stream", true}, {"messages", {{{"role", "user"}, {"content", "why?"}}}}};
  body.merge_patch(changes);
  return body;
}

std::string text_of(const std::string& events) { return read_events(events, AnswerFormat::chat).text; }

const std::string kWritten = "The card was refused because its daily limit";

}  // namespace

TEST_CASE("Splicer: a continuation that cannot be a repetition passes unchanged") {
  CHECK(splice_all(kWritten, {" of ", "40 gallons"}) == " of 40 gallons");
  CHECK(splice_all("", {"anything"}) == "anything");
  CHECK(splice_all(kWritten, {}) == "");
  CHECK(splice_all(kWritten, {"it is"}) == "it is");  // fewer than 8 bytes match: chance
}

TEST_CASE("Splicer: an ambiguous continuation fails rather than corrupting the answer") {
  CHECK_FALSE(splice_all(kWritten, {"The card was refused since"}));  // started over and then differs
  CHECK_FALSE(splice_all(kWritten, {"daily limit of 40"}));           // repeats 11 bytes
  CHECK_FALSE(splice_all(kWritten, {"refused because its daily", " limit of 40"}));
  CHECK_FALSE(splice_all(kWritten, {kWritten, " of 40"}));
  CHECK_FALSE(splice_all("Yes, the", {"Yes, the card"}));
  const std::string row = "| --- | --- | --- | --- | --- | --- |";
  CHECK_FALSE(splice_all(row, {" --- | --- | --- | --- |\n"}));  // matches at several offsets
}

// Guards against a line that is lost because it repeats an earlier one, wherever the first instance ended.
TEST_CASE("Splicer: an answer with equal lines is continued exactly or fails") {
  const std::string line = "- the daily limit of the card was reached\n";
  for (const std::string& text :
       {"Reasons:\n" + line + line + line + "- the card was blocked\n", line + line + line, line + line}) {
    int continued = 0;
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
      const std::string rest = text.substr(cut);
      const auto out = splice_all(text.substr(0, cut),
                                  {rest.substr(0, 3), rest.substr(std::min<std::size_t>(3, rest.size()))});
      if (!out) continue;
      ++continued;
      CHECK(*out == rest);
    }
    CHECK(continued > 0);
  }
}

TEST_CASE("Splicer: a stop string that spans the join ends the answer") {
  ContinuationSplicer splicer("some text\nEN", {"END"});
  CHECK(splicer.feed("D and more").empty());
  CHECK(splicer.state() == ContinuationSplicer::State::stopped);
  CHECK(splice_all("some text\nEN", {"T", "ER"}, {"END"}) == "TER");
  CHECK(splice_all("some text\nE", {"N", "T"}, {"END"}) == "NT");
}

TEST_CASE("Splicer: any text cut anywhere and repeated or not is reproduced exactly or fails") {
  CHECK(rc::check([] {
    // A small alphabet, so that the text often matches itself.
    const auto text = *rc::gen::container<std::string>(60, rc::gen::elementOf(std::string("abc ")));
    const auto cut = std::size_t(*rc::gen::inRange(0, 61));
    const std::string written = text.substr(0, cut);
    // How much of the written text the second instance repeats: nothing, or more than may be chance.
    const auto repeated = *rc::gen::elementOf(std::vector<std::size_t>{0, 0, kMinSuspectMatch, 24, 30, cut});
    const std::size_t from = cut - std::min(cut, repeated);
    std::string rest = text.substr(from);
    std::vector<std::string> pieces;
    while (!rest.empty()) {
      const auto size = std::size_t(*rc::gen::inRange(1, 12));
      pieces.push_back(rest.substr(0, size));
      rest.erase(0, size);
    }
    const auto out = splice_all(written, pieces);
    if (out) RC_ASSERT(written + *out == text);
    if (from < cut) RC_ASSERT(!out);
  }));
}

TEST_CASE("Recovery: a second instance's events continue the first one's answer") {
  StreamRecovery recovery(ContinuationMode::final_message, AnswerFormat::chat);
  std::string client = recovery.forward(content_event("first", kWritten));
  client += recovery.forward("data: {\"error\":{\"message\":\"out of memory\"}}\n\n");
  CHECK_FALSE(recovery.withheld_error().empty());
  const Continuation next =
      recovery.instance_lost(request({{"max_tokens", 100}, {"temperature", 0.5}}).dump());
  REQUIRE(next.action == Continuation::Action::resume);
  const json body = json::parse(next.body);
  CHECK(body["messages"].back() == json{{"role", "assistant"}, {"content", kWritten}});
  CHECK(body["continue_final_message"] == true);
  CHECK(body["add_generation_prompt"] == false);
  CHECK(body["max_tokens"] == 100 - next.written_tokens);
  CHECK(body["temperature"] == 0.5);
  client += recovery.forward(
      event({{"id", "second"}, {"choices", {{{"index", 0}, {"delta", {{"role", "assistant"}}}}}}}));
  client += recovery.forward(content_event("second", " of 40 gallons"));
  client += recovery.forward(content_event("second", " is used up.", "stop"));
  client += recovery.forward(
      event({{"id", "second"},
             {"choices", json::array()},
             {"usage", {{"prompt_tokens", 30 + next.written_tokens}, {"completion_tokens", 7}}}}));
  client += recovery.forward(kDoneEvent);
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
  const json usage = *read_events(client, AnswerFormat::chat).usage;
  CHECK(usage["prompt_tokens"] == 30);
  CHECK(usage["completion_tokens"] == next.written_tokens + 7);
}

TEST_CASE("Recovery: after a second loss the answer continues from all text written so far") {
  StreamRecovery recovery(ContinuationMode::final_message, AnswerFormat::chat);
  std::string client = recovery.forward(content_event("first", "One, two, "));
  REQUIRE(recovery.instance_lost(request().dump()).action == Continuation::Action::resume);
  client += recovery.forward(content_event("second", "three, four, five, "));
  const Continuation again = recovery.instance_lost(request().dump());
  REQUIRE(again.action == Continuation::Action::resume);
  CHECK(json::parse(again.body)["messages"].back()["content"] == "One, two, three, four, five, ");
  client += recovery.forward(content_event("third", "six.", "stop") + kDoneEvent);
  CHECK(text_of(client) == "One, two, three, four, five, six.");
}

TEST_CASE("Recovery: a request that cannot be continued gives up with a reason") {
  const std::pair<json, const char*> cases[] = {
      {{{"n", 2}}, "n is above 1"},
      {{{"logprobs", true}}, "logprobs"},
      {{{"seed", 7}}, "seed"},
      {{{"response_format", {{"type", "json_schema"}}}}, "response_format"},
  };
  for (const auto& [changes, why] : cases) {
    StreamRecovery recovery(ContinuationMode::final_message, AnswerFormat::chat);
    (void)recovery.forward(content_event("first", "some words"));
    const Continuation next = recovery.instance_lost(request(changes).dump());
    CHECK(next.action == Continuation::Action::give_up);
    CHECK(std::string(next.reason).find(why) != std::string::npos);
  }
  StreamRecovery tool(ContinuationMode::final_message, AnswerFormat::chat);
  (void)tool.forward(event({{"choices", {{{"index", 0}, {"delta", {{"tool_calls", {{{"index", 0}}}}}}}}}}));
  CHECK(tool.instance_lost(request().dump()).action == Continuation::Action::give_up);
  StreamRecovery none(ContinuationMode::none, AnswerFormat::chat),
      prompt(ContinuationMode::prompt, AnswerFormat::chat),
      long_one(ContinuationMode::final_message, AnswerFormat::chat);
  for (StreamRecovery* each : {&none, &prompt}) {
    (void)each->forward(content_event("first", "some words"));
    CHECK(each->instance_lost(request().dump()).action == Continuation::Action::give_up);
  }
  (void)long_one.forward(content_event("first", std::string(kMaxRetainedBytes, 'x')));
  CHECK(long_one.instance_lost(request().dump()).action == Continuation::Action::give_up);
}

// Guards against a refusal, or other output beside the text, that reaches the client twice.
TEST_CASE("Recovery: an answer with output beside its text is not continued") {
  const json deltas[] = {{{"refusal", "I am sorry, "}},
                         {{"reasoning_content", "The card "}},
                         {{"audio", {{"data", "AAAA"}}}},
                         {{"content", {{{"type", "text"}, {"text", "I am "}}}}},
                         "I am sorry, "};
  for (const json& delta : deltas) {
    CAPTURE(delta.dump());
    StreamRecovery recovery(ContinuationMode::final_message, AnswerFormat::chat);
    (void)recovery.forward(event({{"choices", {{{"index", 0}, {"delta", delta}}}}}));
    const Continuation next = recovery.instance_lost(request().dump());
    CHECK(next.action == Continuation::Action::give_up);
    CHECK(std::string(next.reason) == "it has output beside its text");
  }
  StreamRecovery unreadable(ContinuationMode::final_message, AnswerFormat::chat);
  (void)unreadable.forward("data: I am sorry, \n\n");
  CHECK(unreadable.instance_lost(request().dump()).action == Continuation::Action::give_up);
  StreamRecovery completion(ContinuationMode::prompt, AnswerFormat::completion);
  (void)completion.forward(event({{"choices", {{{"index", 0}, {"text", {"I am "}}}}}}));
  CHECK(completion.instance_lost(R"({"prompt":"why?"})").action == Continuation::Action::give_up);
}

TEST_CASE("Recovery: fields of an event without output do not prevent a continuation") {
  StreamRecovery recovery(ContinuationMode::final_message, AnswerFormat::chat);
  const json delta = {{"role", "assistant"}, {"content", ""},     {"refusal", nullptr},
                      {"audio", nullptr},    {"reasoning", ""},   {"annotations", json::array()},
                      {"token_id", 7},       {"is_final", false}, {"metadata", json::object()}};
  (void)recovery.forward(event({{"choices", {{{"index", 0}, {"delta", delta}}}}}));
  (void)recovery.forward(content_event("first", "some words"));
  CHECK(recovery.instance_lost(request().dump()).action == Continuation::Action::resume);
}

// Guards against a second instance's refusal joined to the first one's text.
TEST_CASE("Recovery: a continuation in another form than the text so far fails the stream") {
  const json refusal = {{"choices", {{{"index", 0}, {"delta", {{"refusal", "I am sorry"}}}}}}};
  StreamRecovery recovery(ContinuationMode::final_message, AnswerFormat::chat);
  (void)recovery.forward(content_event("first", "some words"));
  REQUIRE(recovery.instance_lost(request().dump()).action == Continuation::Action::resume);
  CHECK(recovery.forward(event(refusal)).empty());
  CHECK(recovery.failed());
  StreamRecovery from_start(ContinuationMode::final_message, AnswerFormat::chat);
  (void)from_start.forward(content_event("first", ""));
  REQUIRE(from_start.instance_lost(request().dump()).action == Continuation::Action::resume);
  CHECK_FALSE(from_start.forward(event(refusal)).empty());
  CHECK_FALSE(from_start.failed());
}

TEST_CASE(
    "Recovery: an answer that lacks only its end or has reached its token limit ends without an instance") {
  StreamRecovery whole(ContinuationMode::final_message, AnswerFormat::chat);
  (void)whole.forward(content_event("first", "all of it", "stop"));
  const Continuation next = whole.instance_lost(request().dump());
  CHECK(next.action == Continuation::Action::finish);
  CHECK(next.bytes == kDoneEvent);
  StreamRecovery limit(ContinuationMode::final_message, AnswerFormat::chat);
  for (int i = 0; i < 4; ++i) (void)limit.forward(content_event("first", "w "));
  const Continuation full = limit.instance_lost(request({{"max_tokens", 4}}).dump());
  CHECK(full.action == Continuation::Action::finish);
  CHECK(full.bytes.find("\"length\"") != std::string::npos);
}

// Guards against an answer that is cut short and reaches its client as one that has used up its limit.
TEST_CASE("Recovery: an answer that is only estimated to have reached its token limit is not ended as such") {
  const std::string four_tokens = "internationalization disestablishment";
  for (const auto& [max_tokens, action] :
       {std::pair(4, Continuation::Action::give_up), std::pair(9, Continuation::Action::give_up),
        std::pair(10, Continuation::Action::resume)}) {
    StreamRecovery recovery(ContinuationMode::final_message, AnswerFormat::chat);
    (void)recovery.forward(content_event("first", four_tokens));
    const Continuation next = recovery.instance_lost(request({{"max_tokens", max_tokens}}).dump());
    CHECK(next.action == action);
    CHECK(next.bytes.empty());
  }
  StreamRecovery reported(ContinuationMode::final_message, AnswerFormat::chat);
  (void)reported.forward(content_event("first", four_tokens));
  (void)reported.forward(event({{"choices", json::array()}, {"usage", {{"completion_tokens", 4}}}}));
  CHECK(reported.instance_lost(request({{"max_tokens", 4}}).dump()).action == Continuation::Action::finish);
}

TEST_CASE("Recovery: completions continue from the prompt plus the text so far") {
  StreamRecovery recovery(ContinuationMode::prompt, AnswerFormat::completion);
  const auto words = [](const char* text) {
    return event({{"id", "c"}, {"choices", {{{"index", 0}, {"text", text}}}}});
  };
  std::string client = recovery.forward(words("in the "));
  const Continuation next = recovery.instance_lost(R"({"model":"m","prompt":"Once, ","stream":true})");
  REQUIRE(next.action == Continuation::Action::resume);
  CHECK(json::parse(next.body)["prompt"] == "Once, in the ");
  client += recovery.forward(words("morning"));
  client += recovery.forward(kDoneEvent);
  CHECK(read_events(client, AnswerFormat::completion).text == "in the morning");
  CHECK(StreamRecovery(ContinuationMode::prompt, AnswerFormat::completion).instance_lost("nonsense").action ==
        Continuation::Action::give_up);
}

TEST_CASE("Recovery: an instance that starts over is detected, and nothing of its answer is sent") {
  StreamRecovery recovery(ContinuationMode::final_message, AnswerFormat::chat);
  (void)recovery.forward(content_event("first", kWritten));
  REQUIRE(recovery.instance_lost(request().dump()).action == Continuation::Action::resume);
  CHECK(recovery.forward(content_event("second", "The card was ")).empty());
  CHECK(recovery.forward(content_event("second", "stolen")).empty());
  CHECK(recovery.failed());
  CHECK(recovery.instance_lost(request().dump()).action == Continuation::Action::give_up);
}

namespace {

using namespace std::chrono_literals;

// Simulates streams of an instance, each with an event every `pace`, for the time `length`.
void run(FailureDetector& detector, eiderarch::EngineId instance, int streams, Duration pace, Time& now,
         Duration length) {
  for (const Time end = now + length; now < end; now += pace) {
    for (int i = 0; i < streams; ++i) detector.event(instance, now, pace);
  }
}

}  // namespace

TEST_CASE("Silence: an unknown instance gets the full time, and one with a steady pace is suspected early") {
  FailureDetector detector;
  CHECK(detector.limit(1) == kMaxSilence);
  Time now = 100s;
  for (int i = 0; i < 10; ++i) detector.began(1);
  run(detector, 1, 10, 40ms, now, 2s);
  CHECK(detector.limit(1) == kMinSilence);
  // All ten streams silent indicates the instance; one silent stream among active ones does not.
  CHECK(detector.time_until_lost(1, now + 600ms, 600ms) == 0s);
  detector.event(1, now + 590ms, 40ms);
  CHECK(detector.time_until_lost(1, now + 600ms, 600ms) > 0s);
  CHECK(detector.time_until_lost(1, now + 4s, 4s) == 0s);
}

TEST_CASE("Silence: an instance whose batches stall is allowed the duration of its stalls") {
  FailureDetector detector;
  Time now = 100s;
  detector.began(1);
  for (int i = 0; i < 20; ++i) {
    run(detector, 1, 1, 40ms, now, 1s);
    now += 800ms;
    detector.event(1, now, 800ms);
  }
  CHECK(detector.limit(1) >= 1600ms);
}

TEST_CASE("Silence: no instance is lost early while the whole fleet is silent or this process was blocked") {
  FailureDetector detector;
  Time now = 100s;
  for (const eiderarch::EngineId instance : {1, 2, 3}) {
    detector.began(instance);
    Time since = now;
    run(detector, instance, 1, 40ms, since, 4s);
  }
  now += 4s;
  CHECK(detector.time_until_lost(1, now + 1s, 1s) == 3s);
  detector.event(2, now + 990ms, 40ms);
  detector.event(3, now + 990ms, 40ms);
  CHECK(detector.time_until_lost(1, now + 1s, 1s) == 0s);
}

TEST_CASE("Silence: for any gaps the limit stays between kMinSilence and kMaxSilence") {
  CHECK(rc::check([] {
    FailureDetector detector;
    Time now = 1s;
    detector.began(1);
    for (int i = 0; i < 120; ++i) {
      const Duration gap(*rc::gen::inRange<std::int64_t>(0, 30'000'000));
      now += gap;
      detector.event(1, now, gap);
      RC_ASSERT(detector.limit(1) >= kMinSilence);
      RC_ASSERT(detector.limit(1) <= kMaxSilence);
    }
    const Duration silent(*rc::gen::inRange<std::int64_t>(0, 10'000'000));
    const Duration more = detector.time_until_lost(1, now + silent, silent);
    RC_ASSERT(more >= 0s);
    RC_ASSERT(silent + more <= std::max(silent, kMaxSilence));
  }));
}
