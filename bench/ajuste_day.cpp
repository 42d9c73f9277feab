// Counts how many of 1,000 `ajuste` requests run twice, with the idempotency ledger and without it. Clients
// retry as the published SDKs do (twice, after lost connections, 409 and 5xx, unless `x-should-retry` forbids
// it) while connections and requests at instances fail. `ajuste_day [REQUESTS]`; 16 concurrent clients, a
// fixed seed, and as many requests as given.
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <thread>

#include "peers.hpp"

using nlohmann::json;
using namespace integration;

namespace {

constexpr int kClients = 16;
constexpr int kRetries = 2;  // the SDKs' default
constexpr unsigned kSeed = 20261201;

// Counts executions by the request's name, which is its prompt.
class ExecutionCounts {
 public:
  void add(const std::string& name) {
    const std::lock_guard lock(mutex_);
    ++runs_[name];
  }
  [[nodiscard]] int repeated() const {
    int count = 0;
    for (const auto& [name, runs] : runs_) count += runs > 1;
    return count;
  }
  [[nodiscard]] std::size_t executed() const { return runs_.size(); }

 private:
  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

// Simulated instance: executes complete requests and fails at random: 4% answer 500, 4% reset the connection
// after execution, 4% reject the request.
ScriptedServer::Script simulated_instance(ExecutionCounts& runs, unsigned seed) {
  return [&runs, seed, connections = std::make_shared<std::atomic<unsigned>>(0)](TestConnection& wire) {
    std::mt19937 random(seed + 7919 * ++*connections);
    while (const auto request = wire.receive()) {
      if (request->first.starts_with("GET ")) {
        wire.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        continue;
      }
      const unsigned draw = random() % 100;
      if (draw < 4) {
        wire.send("HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      runs.add(json::parse(request->body)["messages"][0]["content"]);
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
      if (draw < 8) return wire.reset();
      const bool fails = draw < 12;
      const std::string body =
          fails ? "{}" : R"({"choices":[],"usage":{"prompt_tokens":9,"completion_tokens":3}})";
      wire.send(std::string("HTTP/1.1 ") + (fails ? "500 Internal Server Error" : "200 OK") +
                "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body);
    }
  };
}

struct Outcome {
  bool served = false, unknown = false;
};

// Sends one request with an SDK's retries; a tenth of all connections are reset while it runs.
Outcome ask(const std::string& address, const std::string& name, std::mt19937& random) {
  const std::string body =
      json{{"model", "ajuste"}, {"messages", {{{"role", "user"}, {"content", name}}}}}.dump();
  for (int repeat = 0; repeat <= kRetries; ++repeat) {
    const auto wire = TestConnection::to(address);
    wire->send(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIdempotency-Key: stainless-" +
        name + "\r\nx-stainless-retry-count: " + std::to_string(repeat) +
        "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    if (random() % 10 == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(random() % 6));
      wire->reset();
    } else {
      const Message answer = wire->receive().value_or(Message{});
      if (answer.status() == 200) return {true, false};
      const auto retry_header = answer.headers.find("x-should-retry");
      if (retry_header != answer.headers.end() && retry_header->second == "false") return {false, true};
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20 + random() % 20));
  }
  return {};
}

void measure(int requests, bool with_ledger) {
  ExecutionCounts runs;
  ScriptedServer one(simulated_instance(runs, kSeed)), two(simulated_instance(runs, kSeed + 1));
  const std::string address = unique_address();
  const json file = {
      {"listen", address},
      {"classes", {{{"name", "ajuste"}, {"repeat", "never"}, {"deadline_s", 5}}}},
      {"models", {{{"name", "ajuste"}, {"class", "ajuste"}}}},
      {"ledger", {{"entries", with_ledger ? 20'000 : 0}}},
      {"boxes", {{{"id", "a"}, {"address", one.address()}}, {{"id", "b"}, {"address", two.address()}}}}};
  Program program({"serve", "--appliance", temporary_file(file.dump())}, {});
  if (!Program::listens(address)) return;
  std::atomic<int> next{0}, served{0}, unknown{0};
  std::vector<std::thread> clients;
  for (unsigned i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      std::mt19937 random(kSeed + i);
      for (int number = next++; number < requests; number = next++) {
        const Outcome outcome = ask(address, "ajuste-" + std::to_string(number), random);
        served += outcome.served;
        unknown += outcome.unknown;
      }
    });
  }
  for (std::thread& client : clients) client.join();
  std::printf(
      "%-15s %d asked, %zu ran, %d ran twice; %d clients served, %d told that the outcome is unknown\n",
      with_ledger ? "with ledger:" : "without ledger:", requests, runs.executed(), runs.repeated(),
      served.load(), unknown.load());
  program.terminate();
  program.wait();
}

}  // namespace

int main(int argc, char** argv) {
  const int requests = argc > 1 ? std::atoi(argv[1]) : 1000;
  for (const bool with_ledger : {false, true}) measure(requests, with_ledger);
  return 0;
}
