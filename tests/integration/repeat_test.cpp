// Requests that must run at most once, over sockets: scripted instances that force a particular order of
// events, and random faults at every step of an attempt. What instances executed and what clients were
// answered are checked together.
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <random>
#include <set>
#include <thread>

#include "platform_fixture.hpp"

using namespace integration;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

bool is_request(const Message& message) { return message.first.starts_with("POST /v1/"); }

std::string refusal(const std::string& status) { return plain_response(status, "", "X-Turned-Away: 1\r\n"); }

// Answers each prefill request with a held KV cache, and every other call with 204. A held KV cache is the
// state that a prefill instance keeps until a decode instance fetches it.
void serve_prefill(TestConnection& wire) {
  while (const auto message = wire.receive()) {
    wire.send(is_request(*message) ? plain_response("202 Accepted", "{\"cached_tokens\":0}")
                                   : plain_response("204 No Content"));
  }
}

}  // namespace

// Guards against a duplicate refusal, written milliseconds after the first on the same connection, being
// taken as proof that the next request on that connection had not run.
TEST_CASE("Repeat: a late duplicate of a refusal is not applied to the next request") {
  EventLog seen;
  std::atomic<bool> refused{false};
  ScriptedServer prefill(serve_prefill);
  ScriptedServer decode([&](TestConnection& wire) {
    std::optional<Clock::time_point> answered;
    while (const auto message = wire.receive()) {
      if (!is_request(*message)) {
        wire.send(plain_response("204 No Content"));
        continue;
      }
      if (!refused.exchange(true)) {
        wire.send(refusal("410 Gone"));
        answered = Clock::now();
        continue;
      }
      seen.add("executed");
      // The duplicate is written only now, but within the 45 ms in which real instances may write one.
      if (answered && Clock::now() - *answered < 45ms) wire.send(refusal("410 Gone"));
      wire.send(event_stream({"[DONE]"}));
    }
  });
  Platform platform({{"r", "lectura", prefill.address()}, {"w", "escritura", decode.address()}});
  const std::string answer = platform.ask(client_request("once", "ajuste", 5000, 6000));
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(seen.count("executed") == 1);
}

// A prefill must be resent only after the first instance can have seen the close of its connection, which
// takes one network trip that loopback hides. The time is therefore measured from the moment in which the
// first instance sees the close. The longest of five waits counts, because a busy machine may wake that
// instance late.
TEST_CASE("Repeat: a prefill is resent only some time after the abandoned attempt has ended") {
  std::mutex mutex;
  std::map<std::string, Clock::time_point> closed_at;  // by request: when its first instance saw the close
  std::vector<Clock::duration> waits;
  std::set<std::string> begun;
  const auto script = [&](TestConnection& wire) {
    while (const auto message = wire.receive()) {
      if (!is_request(*message)) {
        wire.send(plain_response("204 No Content"));
        continue;
      }
      const std::string name = message->headers.at("x-txn");
      const auto now = Clock::now();
      std::unique_lock lock(mutex);
      if (begun.insert(name).second) {
        lock.unlock();
        wire.send("no HTTP\r\n");  // makes the program abandon the attempt
        (void)wire.closed_within(3000);
        const auto end = Clock::now();
        lock.lock();
        closed_at[name] = end;
        return;
      }
      if (closed_at.contains(name)) waits.push_back(now - closed_at[name]);
      wire.send(plain_response("202 Accepted", "{\"cached_tokens\":0}"));
    }
  };
  ScriptedServer first(script), second(script);
  ScriptedServer decode([](TestConnection& wire) {
    while (const auto message = wire.receive()) {
      wire.send(is_request(*message) ? event_stream({"[DONE]"}) : plain_response("204 No Content"));
    }
  });
  Platform platform({{"r1", "lectura", first.address()},
                     {"r2", "lectura", second.address()},
                     {"w", "escritura", decode.address()}});
  for (int i = 0; i < 5; ++i)
    (void)platform.ask(client_request("t" + std::to_string(i), "ajuste", 3000, 6000));
  REQUIRE_FALSE(waits.empty());
  CHECK(*std::ranges::max_element(waits) >= 8ms);
}

// Guards against an instance whose list entry has no kind being taken for a prefill instance: an attempt
// there has no effect, so it was followed by another one.
TEST_CASE("Repeat: an instance without a kind in the list is not taken for a prefill instance") {
  EventLog seen;
  ScriptedServer resetting([&](TestConnection& wire) {
    if (const auto message = wire.receive(); message && is_request(*message)) seen.add("executed");
    wire.reset();
  });
  Platform platform({{"w", "mixto", resetting.address()}});
  nlohmann::json line = nlohmann::json::parse(Platform::line(
      2, false, {{"w", "mixto", resetting.address()}, {"v", "escritura", resetting.address()}}));
  for (auto& server : line["servers"]) server.erase("kind");
  platform.push(line.dump());
  platform.push(Platform::line(3, false, {{"x", "escritura", resetting.address()}}));
  const std::string answer = platform.ask(client_request("once", "ajuste", 2000, 6000));
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(seen.count("executed") == 1);
}

// ---- Random faults ----

namespace {

enum class Fault {
  none,
  close_before_reading,
  close_within_request,
  reset_after_request,
  refusal,          // genuine: the request is not executed
  early_refusal,    // genuine: sent before the last byte of the request
  state_gone,       // genuine: the request is not executed
  bare_503,         // the request may have been executed
  refusal_cut,      // the response headers are incomplete
  interim_refusal,  // an interim response with the refusal header, then a close
  error,
  head_cut,
  stream_without_event,
  stream_cut,
  noise,
  silence,
  count
};

constexpr int kEffects = 3;
const char* const kLanes[kEffects] = {"consulta", "nota", "ajuste"};
const std::string kTruncatedPrefillAnswer = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cac";
constexpr auto kRepeatWindow = 400ms;  // of the class with the effect `deduplicated`

// Which requests the instances executed, and when.
class ExecutionRecord {
 public:
  void executed(const std::string& name) {
    const std::lock_guard lock(mutex_);
    executions_[name].push_back(Clock::now());
  }
  std::vector<Clock::time_point> executions(const std::string& name) {
    const std::lock_guard lock(mutex_);
    return executions_[name];
  }
  // How often each request was executed, including repeats that its client made under other names.
  std::map<std::string, std::size_t> by_request() {
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::size_t> times;
    for (const auto& [name, at] : executions_) times[name.substr(0, name.find('.'))] += at.size();
    return times;
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::vector<Clock::time_point>> executions_;
};

// An instance with a random fault for each request it receives. `prefill_only`: it is a prefill instance.
class FaultyInstance {
 public:
  FaultyInstance(ExecutionRecord& record, bool prefill_only, std::uint32_t seed)
      : record_(record),
        prefill_only_(prefill_only),
        generator_(seed),
        peer_([this](TestConnection& wire) { serve(wire); }) {}
  [[nodiscard]] std::string address() const { return peer_.address(); }

 private:
  Fault next_fault() {
    const std::lock_guard lock(mutex_);
    if (generator_() % 5 < 2) return Fault::none;
    return Fault(generator_() % std::uint32_t(Fault::count));
  }

  void serve(TestConnection& wire) {
    while (true) {
      const Fault fault = next_fault();
      if (fault == Fault::close_before_reading) return;
      if (fault == Fault::close_within_request || fault == Fault::early_refusal) {
        (void)wire.receive_head();
        if (fault == Fault::early_refusal) wire.send(refusal("503 Service Unavailable"));
        return wire.reset();  // the request is not executed without its body
      }
      const auto message = wire.receive();
      if (!message) return;
      if (!is_request(*message)) {
        wire.send(plain_response("204 No Content"));
      } else if (!answer(wire, *message, fault)) {
        return;
      }
    }
  }

  // False if the connection has ended.
  bool answer(TestConnection& wire, const Message& message, Fault fault) {
    const bool refused = fault == Fault::refusal || fault == Fault::state_gone;
    if (!prefill_only_ && !refused) record_.executed(message.headers.at("x-txn"));
    switch (fault) {
      case Fault::refusal:
        wire.send(refusal("503 Service Unavailable"));
        return true;
      case Fault::state_gone:
        wire.send(refusal("410 Gone"));
        return true;
      case Fault::bare_503:
        wire.send(plain_response("503 Service Unavailable"));
        return true;
      case Fault::refusal_cut:
        wire.send("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\n");
        return false;
      case Fault::interim_refusal:
        wire.send("HTTP/1.1 103 Early Hints\r\nX-Turned-Away: 1\r\n\r\n");
        return false;
      case Fault::error:
        wire.send(plain_response("500 Internal Server Error"));
        return true;
      case Fault::head_cut:
        wire.send("HTTP/1.1 200 O");
        return false;
      case Fault::stream_without_event:
        wire.send(prefill_only_ ? kTruncatedPrefillAnswer : stream_head());
        return false;
      case Fault::stream_cut:
        wire.send(prefill_only_ ? kTruncatedPrefillAnswer : stream_head() + chunk("data: a\n\n"));
        return false;
      case Fault::noise:
        wire.send("}{ 503 X-Turned-Away: 1\r\n\r\n");
        return false;
      case Fault::silence:
        (void)wire.closed_within(3000);
        return false;
      case Fault::reset_after_request:
        wire.reset();
        return false;
      default:
        wire.send(prefill_only_ ? plain_response("202 Accepted", "{\"cached_tokens\":0}")
                                : event_stream({"a", "[DONE]"}));
        return true;
    }
  }

  ExecutionRecord& record_;
  bool prefill_only_;
  std::mutex mutex_;
  std::mt19937 generator_;
  ScriptedServer peer_;
};

nlohmann::json settings_with_three_effects() {
  nlohmann::json settings = site_settings();
  nlohmann::json& classes = settings["categories"];
  nlohmann::json note = classes[1];
  note["name"] = kLanes[1];
  note["effect"] = "deduplicated";
  note["windowS"] = std::chrono::duration<double>(kRepeatWindow).count();
  classes.push_back(note);
  settings["familyInfo"]["aimUsPer1000PromptTokens"].push_back(40000.0);
  settings["familyInfo"]["tokenAimS"].push_back(0.08);
  return settings;
}

// Checks one request's executions and its answer against the effect of its class (rule 2): at most one
// execution for ajuste, and repeats only within the window for the deduplicated class.
void check_rules(ExecutionRecord& record, const std::string& name, int effect, const std::string& answer) {
  CAPTURE(name, kLanes[effect], answer);
  const auto executions = record.executions(name);
  // Exactly one final answer.
  CHECK(answer.starts_with("HTTP/1.1 "));
  CHECK(answer.find("HTTP/1.1 ", 9) == std::string::npos);
  if (answer.starts_with("HTTP/1.1 200")) CHECK_FALSE(executions.empty());
  if (effect == 1 && executions.size() > 1) {
    CHECK(executions.back() - executions.front() < kRepeatWindow + 50ms);
  }
  if (effect != 2) return;
  CHECK(executions.size() <= 1);
  if (answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 429")) CHECK(executions.empty());
}

}  // namespace

TEST_CASE("Repeat: random faults at every step never execute an at-most-once request twice") {
  constexpr int kClients = 6, kEach = 30;
  for (const std::uint32_t seed : {11U, 12U}) {
    CAPTURE(seed);
    ExecutionRecord record;
    std::vector<std::unique_ptr<FaultyInstance>> instances;
    std::vector<Platform::Instance> listed;
    for (std::uint32_t i = 0; i < 5; ++i) {
      const char* const kind = i < 2 ? "lectura" : i < 4 ? "escritura" : "mixto";
      instances.push_back(std::make_unique<FaultyInstance>(record, i < 2, 100 * seed + i));
      listed.push_back({"s" + std::to_string(i), kind, instances.back()->address()});
    }
    Platform platform(listed, settings_with_three_effects());
    std::vector<std::string> answers(kClients * kEach);
    std::vector<std::thread> clients;
    for (int c = 0; c < kClients; ++c) {
      clients.emplace_back([&, c] {
        std::mt19937 generator(1000 * seed + std::uint32_t(c));
        for (int i = c * kEach; i < (c + 1) * kEach; ++i) {
          const int prompt = generator() % 2 == 0 ? 100 : 6000;
          const std::string body(generator() % 4 == 0 ? 200'000 : 20, 'x');
          answers[std::size_t(i)] = platform.ask(
              client_request("t" + std::to_string(i), kLanes[i % kEffects], 700, prompt, "", body));
        }
      });
    }
    for (std::thread& client : clients) client.join();
    for (int i = 0; i < kClients * kEach; ++i) {
      check_rules(record, "t" + std::to_string(i), i % kEffects, answers[std::size_t(i)]);
    }
  }
}

// ---- Restarting processes ----

namespace {

// A client of several processes that follows the protocol documentation: after a connection that ends without
// an answer it sends the same request once more to another process, after a refusal a new request with a new
// name.
class FleetClient {
 public:
  FleetClient(const std::vector<std::string>& addresses, std::uint32_t seed)
      : addresses_(addresses), generator_(seed) {}

  void ask(const std::string& name) {
    std::string txn = name;
    bool sent_again = false;
    for (int attempt = 0; attempt < 5; ++attempt) {
      const auto wire = TestConnection::to(addresses_[generator_() % addresses_.size()]);
      if (wire == nullptr) continue;  // the process is down
      wire->send(client_request(txn, "ajuste", 700, generator_() % 2 == 0 ? 100 : 6000));
      const std::string answer = wire->receive_all();
      if (answer.empty()) {
        if (std::exchange(sent_again, true)) return;
      } else if (answer.starts_with("HTTP/1.1 503")) {
        txn = name + "." + std::to_string(attempt);
      } else {
        return;
      }
    }
  }

 private:
  const std::vector<std::string>& addresses_;
  std::mt19937 generator_;
};

}  // namespace

TEST_CASE("Fleet: processes that restart in turn never execute an at-most-once request twice") {
  constexpr int kProcesses = 3, kClients = 6;
  constexpr std::uint32_t kSeed = 21;
  ExecutionRecord record;
  std::vector<std::unique_ptr<FaultyInstance>> instances;
  std::vector<Platform::Instance> listed;
  for (std::uint32_t i = 0; i < 5; ++i) {
    const char* const kind = i < 2 ? "lectura" : i < 4 ? "escritura" : "mixto";
    instances.push_back(std::make_unique<FaultyInstance>(record, i < 2, kSeed + i));
    listed.push_back({"s" + std::to_string(i), kind, instances.back()->address()});
  }
  nlohmann::json settings = site_settings();
  for (auto& c : settings["categories"]) c["deadlineS"] = 1.0;  // unfinished requests fail soon after the end
  Platform platform(listed, settings);
  std::vector<std::string> addresses{platform.address()};
  std::vector<std::unique_ptr<Program>> programs(kProcesses);
  const auto start = [&](std::size_t i) {
    programs[i] = platform.start({{"PROXY_LISTEN", addresses[i]}});
    programs[i]->expect_listening(addresses[i]);
  };
  while (addresses.size() < kProcesses) addresses.push_back(unique_address());
  for (std::size_t i = 1; i < kProcesses; ++i) start(i);

  std::atomic<bool> over{false};
  std::atomic<int> asked{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      FleetClient client(addresses, kSeed + std::uint32_t(c));
      for (int i = 0; i < 500 && !over; ++i, ++asked) {
        client.ask("c" + std::to_string(c) + "-" + std::to_string(i));
      }
    });
  }
  for (std::size_t i = 0; i < kProcesses; ++i) {
    Program& ending = programs[i] ? *programs[i] : platform.program();
    ending.terminate();
    CHECK(ending.wait() == 0);
    start(i);
  }
  over = true;
  for (std::thread& client : clients) client.join();
  CHECK(asked > kClients);
  for (const auto& [name, times] : record.by_request()) {
    CAPTURE(name);
    CHECK(times == 1);
  }
}
