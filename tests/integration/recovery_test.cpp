// Recovery of streams by the whole program: scripted instances that fail at any point of an answer.
#include <atomic>
#include <catch2/catch.hpp>

#include "appliance_fixture.hpp"

using namespace integration;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> kWords = {"Your ",     "card ",      "was refused: ", "its daily ",
                                         "limit is ", "\u00f1 40 ", "gallons."};

std::string event(const json& choice) {
  return "data: " + json{{"id", "chatcmpl-1"}, {"created", 7}, {"model", "m"}, {"choices", {choice}}}.dump() +
         "\n\n";
}

// The events of an answer after the text `written`, as sent by an instance that supports continuation.
std::vector<std::string> events_after(const std::string& written) {
  std::vector<std::string> out = {
      event({{"index", 0}, {"delta", {{"role", "assistant"}, {"content", ""}}}, {"finish_reason", nullptr}})};
  std::string so_far;
  for (const std::string& word : kWords) {
    so_far += word;
    if (so_far.size() <= written.size()) continue;
    out.push_back(event({{"index", 0}, {"delta", {{"content", word}}}, {"finish_reason", nullptr}}));
  }
  out.push_back(event({{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}));
  out.push_back("data: [DONE]\n\n");
  return out;
}

std::string written_in(const Message& request) {
  const json body = json::parse(request.body);
  return body.value("continue_final_message", false) ? body["messages"].back()["content"].get<std::string>()
                                                     : "";
}

std::string all_of(const std::vector<std::string>& events) {
  std::string text;
  for (const std::string& one : events) text += one;
  return text;
}

struct ParsedStream {
  std::string text;
  int roles = 0, finishes = 0, dones = 0;
  bool error = false, whole = false;
};

// Parses an answer as a client does; an event that is not JSON counts as an error.
ParsedStream parse_stream(const std::string& answer) {
  ParsedStream h;
  h.whole = answer.ends_with("\r\n0\r\n\r\n");
  std::string body;
  for (std::size_t at = answer.find("\r\n\r\n") + 4; at < answer.size();) {
    const std::size_t end = answer.find("\r\n", at);
    const std::size_t size = std::stoul(answer.substr(at, end - at), nullptr, 16);
    if (size == 0) break;
    body += answer.substr(end + 2, size);
    at = end + 2 + size + 2;
  }
  for (std::size_t at = 0; at < body.size();) {
    const std::size_t end = body.find("\n\n", at);
    const std::string data = body.substr(at + 6, end - at - 6);
    at = end + 2;
    if (data == "[DONE]") {
      ++h.dones;
      continue;
    }
    const json value = json::parse(data, nullptr, false);
    if (value.is_discarded() || value.contains("error")) {
      h.error = true;
      continue;
    }
    const json& choice = value["choices"][0];
    h.text += choice["delta"].value("content", "");
    h.roles += choice["delta"].contains("role");
    h.finishes += choice["finish_reason"].is_string();
  }
  return h;
}

std::string whole_text() {
  std::string text;
  for (const std::string& word : kWords) text += word;
  return text;
}

json with_continuation() {
  return {{"models",
           {{{"name", "m-consulta"}, {"class", "consulta"}, {"continuation", "final_message"}},
            {{"name", "m-ajuste"}, {"class", "ajuste"}, {"continuation", "final_message"}}}}};
}

const std::string kConsulta = Appliance::body("m-consulta", true);

}  // namespace

TEST_CASE(
    "Recovery: for a decode instance killed at any byte of its stream the client receives the text of an "
    "undisturbed run") {
  EventLog seen;
  const std::string whole = all_of(events_after(""));
  const std::size_t first = events_after("")[0].size(),
                    last = whole.size() - std::string("data: [DONE]\n\n").size();
  std::atomic<std::size_t> cut{0};
  const auto script = instance_script(seen, [&](TestConnection& wire, const Message& m) {
    const std::string written = written_in(m);
    // Only the first attempt is cut. A continuation after the role event alone has no text either, so it
    // looks like a first attempt but arrives second.
    if (written.empty() && cut > 0) {
      wire.send(stream_head() + chunk(whole.substr(0, cut.exchange(0))));
      wire.reset();
      return false;
    }
    wire.send(stream_head() + chunk(all_of(events_after(written))) + "0\r\n\r\n");
    return true;
  });
  ScriptedServer one(script), two(script);
  json changes = with_continuation();
  changes["max_attempts"] = 4;
  Appliance appliance({one.address(), two.address()}, changes);
  std::vector<std::size_t> cuts;
  for (std::size_t at = first; at < last; at += (at < first + 400 ? 1 : 13)) cuts.push_back(at);
  cuts.push_back(last);
  for (const std::size_t at : cuts) {
    cut = at;
    const std::string answer = appliance.chat(kConsulta);
    INFO("cut at " << at << ": " << answer);
    const ParsedStream h = parse_stream(answer);
    REQUIRE(h.text == whole_text());
    REQUIRE((h.roles == 1 && h.finishes == 1 && h.dones == 1 && h.whole && !h.error));
  }
  const json requests = json_body(appliance.page("GET", "/-/status"))["requests"];
  CHECK(requests["broken"] == 0);
  CHECK(requests["continued"] > 100);
  CHECK(requests["end_added"] > 0);  // cut after the finish_reason, so only [DONE] was missing
}

// Guards against an answer with equal lines that loses one of them and reaches its client as a whole one.
TEST_CASE("Recovery: an answer with equal lines that is continued arrives whole or is told to be broken") {
  EventLog seen;
  const std::string line = "- the daily limit was reached\n";
  const std::string text = "Refusals:\n" + line + line + line + "- the card was blocked\n";
  constexpr std::size_t kEventBytes = 7;
  std::atomic<std::size_t> cut{0};
  const auto script = instance_script(seen, [&](TestConnection& wire, const Message& m) {
    const std::string written = written_in(m);
    wire.send(stream_head());
    for (std::size_t at = written.size(); at < text.size(); at += kEventBytes) {
      // Ends within the body. A reset could overtake events that were sent before it.
      if (written.empty() && cut > 0 && at >= cut) return false;
      const json delta = {{"content", text.substr(at, kEventBytes)}};
      wire.send(chunk(event({{"index", 0}, {"delta", delta}, {"finish_reason", nullptr}})));
    }
    wire.send(chunk(event({{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}})) +
              chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    return true;
  });
  ScriptedServer one(script), two(script);
  json changes = with_continuation();
  changes["max_attempts"] = 4;
  Appliance appliance({one.address(), two.address()}, changes);
  int whole = 0, broken = 0;
  for (std::size_t at = kEventBytes; at < text.size(); at += kEventBytes) {
    cut = 0;
    for (int i = 0; i < 5; ++i)
      REQUIRE(parse_stream(appliance.chat(kConsulta)).text == text);  // fills the budget
    cut = at;
    const std::string answer = appliance.chat(kConsulta);
    INFO("cut at " << at << ": " << answer);
    const ParsedStream parsed = parse_stream(answer);
    if (parsed.error) {
      ++broken;
      CHECK_FALSE(parsed.whole);
      CHECK(text.starts_with(parsed.text));
    } else {
      ++whole;
      CHECK(parsed.text == text);
      CHECK((parsed.finishes == 1 && parsed.dones == 1 && parsed.whole));
    }
  }
  CHECK(whole > broken);
  CHECK(broken > 0);
}

TEST_CASE("Recovery: an ajuste is never continued and reaches no second instance") {
  EventLog seen;
  const auto script = instance_script(seen, [&](TestConnection& wire, const Message&) {
    wire.send(stream_head() + chunk(events_after("")[0] + events_after("")[1]));
    wire.reset();
    return false;
  });
  ScriptedServer one(script), two(script);
  Appliance appliance({one.address(), two.address()}, with_continuation());
  const std::string answer = appliance.chat(Appliance::body("m-ajuste", true));
  CHECK(contains(answer, "look before asking again"));
  CHECK_FALSE(parse_stream(answer).whole);
  CHECK(seen.count(kChat) == 1);
}

TEST_CASE(
    "Recovery: a third instance continues if the second fails too, and without one the stream is broken") {
  EventLog seen;
  std::atomic<int> deaths{2};
  const auto script = instance_script(seen, [&](TestConnection& wire, const Message& m) {
    const auto events = events_after(written_in(m));
    if (deaths-- > 0) {
      wire.send(stream_head() + chunk(events[0] + events[1] + events[2]));
      wire.reset();
      return false;
    }
    wire.send(stream_head() + chunk(all_of(events)) + "0\r\n\r\n");
    return true;
  });
  ScriptedServer one(script), two(script), three(script);
  Appliance appliance({one.address(), two.address(), three.address()}, with_continuation());
  const ParsedStream h = parse_stream(appliance.chat(kConsulta));
  CHECK(h.text == whole_text());
  CHECK(h.whole);
  CHECK(seen.count(kChat) == 3);
  deaths = 1000;
  const std::string broken = appliance.chat(kConsulta);
  CHECK(contains(broken, "stream_broken"));
  CHECK(parse_stream(broken).text.size() < whole_text().size());
  CHECK(count_responses(broken) == 1);
}

TEST_CASE(
    "Recovery: an instance that does not support continuation or starts over does not corrupt the answer") {
  for (const bool rejects : {true, false}) {
    EventLog seen;
    std::atomic<bool> first{true};
    const auto script = instance_script(seen, [&](TestConnection& wire, const Message&) {
      const auto events = events_after("");
      if (first.exchange(false)) {
        wire.send(stream_head() + chunk(events[0] + events[1] + events[2] + events[3] + events[4]));
        wire.reset();
        return false;
      }
      if (rejects) {
        wire.send(plain_response("400 Bad Request", R"({"error":{"message":"unknown field"}})"));
      } else {
        const std::string other = event({{"index", 0}, {"delta", {{"content", "Your card was stolen"}}}});
        wire.send(stream_head() + chunk(events[0] + other + events[7] + events[8] + "data: [DONE]\n\n") +
                  "0\r\n\r\n");
      }
      return true;
    });
    ScriptedServer one(script), two(script);
    Appliance appliance({one.address(), two.address()}, with_continuation());
    const std::string answer = appliance.chat(kConsulta);
    INFO(answer);
    const ParsedStream h = parse_stream(answer);
    CHECK(whole_text().starts_with(h.text));
    CHECK(h.error);
    CHECK_FALSE(h.whole);
    CHECK(contains(answer, "stream_broken"));
    CHECK(count_responses(answer) == 1);
  }
}

TEST_CASE(
    "Recovery: the connection to a frozen instance is closed, and nothing that it sends later reaches the "
    "client") {
  EventLog seen;
  std::atomic<bool> first{true};
  const auto script = instance_script(seen, [&](TestConnection& wire, const Message& m) {
    const auto events = events_after(written_in(m));
    if (first.exchange(false)) {
      wire.send(stream_head() + chunk(events[0] + events[1] + events[2]));
      seen.add(wire.closed_within(8000) ? "frozen closed" : "frozen open");
      wire.send(chunk("data: {\"late\":1}\n\n"));
      return false;
    }
    seen.add("goes on");
    wire.send(stream_head() + chunk(all_of(events)) + "0\r\n\r\n");
    return true;
  });
  ScriptedServer one(script), two(script);
  Appliance appliance({one.address(), two.address()}, with_continuation());
  const std::string answer = appliance.chat(kConsulta);
  const ParsedStream h = parse_stream(answer);
  CHECK(h.text == whole_text());
  CHECK(h.whole);
  CHECK_FALSE(contains(answer, "late"));
  CHECK(seen.wait_for("frozen closed"));
  CHECK(seen.count("goes on") == 1);
}

TEST_CASE(
    "Recovery: a client that disconnects during recovery ends the attempt, and no further one is made") {
  EventLog seen;
  std::atomic<bool> first{true};
  const auto script = instance_script(seen, [&](TestConnection& wire, const Message& m) {
    const auto events = events_after(written_in(m));
    if (first.exchange(false)) {
      wire.send(stream_head() + chunk(events[0] + events[1] + events[2]));
      wire.reset();
      return false;
    }
    seen.add("asked to go on");
    seen.add(wire.closed_within(5000) ? "ended" : "goes on");
    return false;
  });
  ScriptedServer one(script), two(script);
  Appliance appliance({one.address(), two.address()}, with_continuation());
  {
    const auto client = appliance.connect();
    client->send(Appliance::request(kConsulta));
    REQUIRE(seen.wait_for("asked to go on"));
  }
  CHECK(seen.wait_for("ended"));
  CHECK(seen.count(kChat) == 2);
}

// Guards against a refusal that is asked for again from its start and reaches its client twice.
TEST_CASE("Recovery: a lost stream with a refusal ends broken, and no second instance is asked") {
  EventLog seen;
  const auto script = instance_script(seen, [&](TestConnection& wire, const Message&) {
    const json refusal = {{"index", 0}, {"delta", {{"refusal", "I am sorry, "}}}, {"finish_reason", nullptr}};
    wire.send(stream_head() + chunk(events_after("")[0] + event(refusal)));
    wire.reset();
    return false;
  });
  ScriptedServer one(script), two(script);
  Appliance appliance({one.address(), two.address()}, with_continuation());
  const std::string answer = appliance.chat(kConsulta);
  CHECK(contains(answer, "stream_broken"));
  CHECK(answer.find("I am sorry") == answer.rfind("I am sorry"));
  CHECK(seen.count(kChat) == 1);
}

TEST_CASE("Recovery: without the continuation setting a lost stream ends broken") {
  EventLog seen;
  const auto script = instance_script(seen, [&](TestConnection& wire, const Message&) {
    wire.send(stream_head() + chunk(events_after("")[0] + events_after("")[1]));
    wire.reset();
    return false;
  });
  ScriptedServer one(script), two(script);
  Appliance appliance({one.address(), two.address()});
  CHECK(contains(appliance.chat(kConsulta), "stream_broken"));
  CHECK(seen.count(kChat) == 1);
}
