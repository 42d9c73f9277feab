// Requests that must not be repeated, over sockets: instances whose scripts force the moment, and drawn
// faults at every step of an attempt. What instances executed and clients were answered is checked as one
// record.
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <random>
#include <set>
#include <thread>

#include "platform_world.hpp"

using namespace stories;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

bool is_request(const Message& message) { return message.first.starts_with("POST /v1/"); }

std::string turned_away(const std::string& status) { return simple(status, "", "X-Turned-Away: 1\r\n"); }

// Answers each read with a state that waits, and every call.
void serve_reads(Wire& wire) {
  while (const auto message = wire.receive()) {
    wire.send(is_request(*message) ? simple("202 Accepted", "{\"cached_tokens\":0}")
                                   : simple("204 No Content"));
  }
}

}  // namespace

// Written milliseconds after the first, it was read as the proof that the next request had not run.
TEST_CASE("Repeat: a refusal that comes a second time, late, proves nothing of the next request") {
  Record seen;
  std::atomic<bool> refused{false};
  Peer reader(serve_reads);
  Peer writer([&](Wire& wire) {
    std::optional<Clock::time_point> answered;
    while (const auto message = wire.receive()) {
      if (!is_request(*message)) {
        wire.send(simple("204 No Content"));
        continue;
      }
      if (!refused.exchange(true)) {
        wire.send(turned_away("410 Gone"));
        answered = Clock::now();
        continue;
      }
      seen.add("executed");
      // The second answer is written only now, but within the time in which instances do that.
      if (answered && Clock::now() - *answered < 45ms) wire.send(turned_away("410 Gone"));
      wire.send(events({"[DONE]"}));
    }
  });
  Platform platform({{"r", "lectura", reader.address()}, {"w", "escritura", writer.address()}});
  const std::string answer = platform.ask(client_request("once", "ajuste", 5000, 6000));
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(seen.count("executed") == 1);
}

// The close of a connection is heard one trip later, which loopback hides: so the time is measured from the
// moment in which the first instance hears of it. Of five, for a busy machine may wake that one late.
TEST_CASE("Repeat: a read is sent on only some time after the end of the one given up") {
  std::mutex mutex;
  std::map<std::string, Clock::time_point> heard;  // by request: when its first instance heard of the end
  std::vector<Clock::duration> waits;
  std::set<std::string> begun;
  const auto script = [&](Wire& wire) {
    while (const auto message = wire.receive()) {
      if (!is_request(*message)) {
        wire.send(simple("204 No Content"));
        continue;
      }
      const std::string name = message->headers.at("x-txn");
      const auto now = Clock::now();
      std::unique_lock lock(mutex);
      if (begun.insert(name).second) {
        lock.unlock();
        wire.send("no HTTP\r\n");  // the program gives the attempt up
        (void)wire.closed_within(3000);
        const auto end = Clock::now();
        lock.lock();
        heard[name] = end;
        return;
      }
      if (heard.contains(name)) waits.push_back(now - heard[name]);
      wire.send(simple("202 Accepted", "{\"cached_tokens\":0}"));
    }
  };
  Peer first(script), second(script);
  Peer writer([](Wire& wire) {
    while (const auto message = wire.receive()) {
      wire.send(is_request(*message) ? events({"[DONE]"}) : simple("204 No Content"));
    }
  });
  Platform platform({{"r1", "lectura", first.address()},
                     {"r2", "lectura", second.address()},
                     {"w", "escritura", writer.address()}});
  for (int i = 0; i < 5; ++i)
    (void)platform.ask(client_request("t" + std::to_string(i), "ajuste", 3000, 6000));
  REQUIRE_FALSE(waits.empty());
  CHECK(*std::ranges::max_element(waits) >= 8ms);
}

// Its line left out the kind: taken for a reader, where an attempt has no effect, it was followed by another.
TEST_CASE("Repeat: an instance whose line of the list names no kind is not taken for a reader") {
  Record seen;
  Peer breaks([&](Wire& wire) {
    if (const auto message = wire.receive(); message && is_request(*message)) seen.add("executed");
    wire.reset();
  });
  Platform platform({{"w", "mixto", breaks.address()}});
  nlohmann::json line = nlohmann::json::parse(
      Platform::line(2, false, {{"w", "mixto", breaks.address()}, {"v", "escritura", breaks.address()}}));
  for (auto& server : line["servers"]) server.erase("kind");
  platform.push(line.dump());
  platform.push(Platform::line(3, false, {{"x", "escritura", breaks.address()}}));
  const std::string answer = platform.ask(client_request("once", "ajuste", 2000, 6000));
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(seen.count("executed") == 1);
}

// ---- Drawn faults ----

namespace {

enum class Fault {
  none,
  close_before_reading,
  close_within_request,
  reset_after_request,
  refusal,          // true: not executed
  early_refusal,    // true: before the request's last byte
  state_gone,       // true: not executed
  bare_503,         // may have executed
  refusal_cut,      // its head is not whole
  interim_refusal,  // an interim head with the word of a refusal, then a break
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
const std::string kReadCut = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\n\r\n{\"cac";
constexpr auto kWindow = 400ms;  // of the class that is deduplicated

// The merged record: what was executed, where and when, and what each client was answered.
class Ledger {
 public:
  void executed(const std::string& name) {
    const std::lock_guard lock(mutex_);
    executions_[name].push_back(Clock::now());
  }
  std::vector<Clock::time_point> executions(const std::string& name) {
    const std::lock_guard lock(mutex_);
    return executions_[name];
  }
  // How often each was executed, together with the repeats that its client made under names of their own.
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

// An instance with a fault drawn for each request that comes to it; `reads`: it only reads prompts.
class FaultyInstance {
 public:
  FaultyInstance(Ledger& ledger, bool reads, std::uint32_t seed)
      : ledger_(ledger), reads_(reads), draw_(seed), peer_([this](Wire& wire) { serve(wire); }) {}
  [[nodiscard]] std::string address() const { return peer_.address(); }

 private:
  Fault draw() {
    const std::lock_guard lock(mutex_);
    if (draw_() % 5 < 2) return Fault::none;
    return Fault(draw_() % std::uint32_t(Fault::count));
  }

  void serve(Wire& wire) {
    while (true) {
      const Fault fault = draw();
      if (fault == Fault::close_before_reading) return;
      if (fault == Fault::close_within_request || fault == Fault::early_refusal) {
        (void)wire.receive_head();
        if (fault == Fault::early_refusal) wire.send(turned_away("503 Service Unavailable"));
        return wire.reset();  // what follows the head is not executed
      }
      const auto message = wire.receive();
      if (!message) return;
      if (!is_request(*message)) {
        wire.send(simple("204 No Content"));
      } else if (!answer(wire, *message, fault)) {
        return;
      }
    }
  }

  // False where the connection is over.
  bool answer(Wire& wire, const Message& message, Fault fault) {
    const bool refused = fault == Fault::refusal || fault == Fault::state_gone;
    if (!reads_ && !refused) ledger_.executed(message.headers.at("x-txn"));
    switch (fault) {
      case Fault::refusal:
        wire.send(turned_away("503 Service Unavailable"));
        return true;
      case Fault::state_gone:
        wire.send(turned_away("410 Gone"));
        return true;
      case Fault::bare_503:
        wire.send(simple("503 Service Unavailable"));
        return true;
      case Fault::refusal_cut:
        wire.send("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\n");
        return false;
      case Fault::interim_refusal:
        wire.send("HTTP/1.1 103 Early Hints\r\nX-Turned-Away: 1\r\n\r\n");
        return false;
      case Fault::error:
        wire.send(simple("500 Internal Server Error"));
        return true;
      case Fault::head_cut:
        wire.send("HTTP/1.1 200 O");
        return false;
      case Fault::stream_without_event:
        wire.send(reads_ ? kReadCut : stream_head());
        return false;
      case Fault::stream_cut:
        wire.send(reads_ ? kReadCut : stream_head() + chunk("data: a\n\n"));
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
        wire.send(reads_ ? simple("202 Accepted", "{\"cached_tokens\":0}") : events({"a", "[DONE]"}));
        return true;
    }
  }

  Ledger& ledger_;
  bool reads_;
  std::mutex mutex_;
  std::mt19937 draw_;
  Peer peer_;
};

nlohmann::json settings_with_three_effects() {
  nlohmann::json settings = site_settings();
  nlohmann::json& classes = settings["categories"];
  nlohmann::json note = classes[1];
  note["name"] = kLanes[1];
  note["effect"] = "deduplicated";
  note["windowS"] = std::chrono::duration<double>(kWindow).count();
  classes.push_back(note);
  settings["familyInfo"]["aimUsPer1000PromptTokens"].push_back(40000.0);
  settings["familyInfo"]["tokenAimS"].push_back(0.08);
  return settings;
}

// What rule 2 says of one request's executions and its answer.
void check_rules(Ledger& ledger, const std::string& name, int effect, const std::string& answer) {
  CAPTURE(name, kLanes[effect], answer);
  const auto executions = ledger.executions(name);
  // One final answer: a head, and no second one behind it.
  CHECK(answer.starts_with("HTTP/1.1 "));
  CHECK(answer.find("HTTP/1.1 ", 9) == std::string::npos);
  if (answer.starts_with("HTTP/1.1 200")) CHECK_FALSE(executions.empty());
  if (effect == 1 && executions.size() > 1) {
    CHECK(executions.back() - executions.front() < kWindow + 50ms);
  }
  if (effect != 2) return;
  CHECK(executions.size() <= 1);
  if (answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 429")) CHECK(executions.empty());
}

}  // namespace

TEST_CASE("Repeat: drawn faults at every step never execute twice what must not be repeated") {
  constexpr int kClients = 6, kEach = 30;
  for (const std::uint32_t seed : {11U, 12U}) {
    CAPTURE(seed);
    Ledger ledger;
    std::vector<std::unique_ptr<FaultyInstance>> instances;
    std::vector<Platform::Instance> listed;
    for (std::uint32_t i = 0; i < 5; ++i) {
      const char* const kind = i < 2 ? "lectura" : i < 4 ? "escritura" : "mixto";
      instances.push_back(std::make_unique<FaultyInstance>(ledger, i < 2, 100 * seed + i));
      listed.push_back({"s" + std::to_string(i), kind, instances.back()->address()});
    }
    Platform platform(listed, settings_with_three_effects());
    std::vector<std::string> answers(kClients * kEach);
    std::vector<std::thread> clients;
    for (int c = 0; c < kClients; ++c) {
      clients.emplace_back([&, c] {
        std::mt19937 draw(1000 * seed + std::uint32_t(c));
        for (int i = c * kEach; i < (c + 1) * kEach; ++i) {
          const int prompt = draw() % 2 == 0 ? 100 : 6000;
          const std::string body(draw() % 4 == 0 ? 200'000 : 20, 'x');
          answers[std::size_t(i)] = platform.ask(
              client_request("t" + std::to_string(i), kLanes[i % kEffects], 700, prompt, "", body));
        }
      });
    }
    for (std::thread& client : clients) client.join();
    for (int i = 0; i < kClients * kEach; ++i) {
      check_rules(ledger, "t" + std::to_string(i), i % kEffects, answers[std::size_t(i)]);
    }
  }
}

// ---- Processes that end and start ----

namespace {

// A client of several processes, as the protocol page has it: a connection that ends without a word brings
// the same request once more to another process, a refusal a new request with a name of its own.
class FleetClient {
 public:
  FleetClient(const std::vector<std::string>& addresses, std::uint32_t seed)
      : addresses_(addresses), draw_(seed) {}

  void ask(const std::string& name) {
    std::string txn = name;
    bool sent_again = false;
    for (int attempt = 0; attempt < 5; ++attempt) {
      const auto wire = Wire::to(addresses_[draw_() % addresses_.size()]);
      if (wire == nullptr) continue;  // a process that is down
      wire->send(client_request(txn, "ajuste", 700, draw_() % 2 == 0 ? 100 : 6000));
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
  std::mt19937 draw_;
};

}  // namespace

TEST_CASE("Fleet: processes that restart in turn never execute twice what must not be repeated") {
  constexpr int kProcesses = 3, kClients = 6;
  constexpr std::uint32_t kSeed = 21;
  Ledger ledger;
  std::vector<std::unique_ptr<FaultyInstance>> instances;
  std::vector<Platform::Instance> listed;
  for (std::uint32_t i = 0; i < 5; ++i) {
    const char* const kind = i < 2 ? "lectura" : i < 4 ? "escritura" : "mixto";
    instances.push_back(std::make_unique<FaultyInstance>(ledger, i < 2, kSeed + i));
    listed.push_back({"s" + std::to_string(i), kind, instances.back()->address()});
  }
  nlohmann::json settings = site_settings();
  for (auto& c : settings["categories"]) c["deadlineS"] = 1.0;  // what is left at the end is given up soon
  Platform platform(listed, settings);
  std::vector<std::string> addresses{platform.address()};
  std::vector<std::unique_ptr<Program>> programs(kProcesses);
  const auto start = [&](std::size_t i) {
    programs[i] = platform.start({{"PROXY_LISTEN", addresses[i]}});
    programs[i]->expect_listening(addresses[i]);
  };
  while (addresses.size() < kProcesses) addresses.push_back(own_address());
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
  for (const auto& [name, times] : ledger.by_request()) {
    CAPTURE(name);
    CHECK(times == 1);
  }
}
