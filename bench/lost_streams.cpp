// Counts how many interrupted streams are recovered, and how long their clients wait for the continuation,
// with and without `continuation`: `lost_streams [STREAMS]`. 24 concurrent clients and three instances;
// either a quarter of all first attempts are reset at a random event, or one of the three instances fails at
// one moment. A fixed seed, and as many streams as given.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "peers.hpp"

using nlohmann::json;
using namespace integration;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kClients = 24, kEvents = 40;
constexpr auto kEventInterval = std::chrono::milliseconds(10);

std::string word(int number) { return "word" + std::to_string(number) + " "; }

std::string whole_text() {
  std::string text;
  for (int i = 0; i < kEvents; ++i) text += word(i);
  return text;
}

std::string chunk(const json& choice) {
  const std::string event = "data: " + json{{"id", "c"}, {"choices", {choice}}}.dump() + "\n\n";
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", event.size());
  return size + event + "\r\n";
}

// Simulated instance: continues after the words that the request already contains. `reset_after` returns the
// number of words after which it resets the connection; negative: never.
ScriptedServer::Script simulated_instance(const std::function<int()>& reset_after,
                                          const std::atomic<bool>& down) {
  return [reset_after, &down](TestConnection& wire) {
    while (const auto request = wire.receive()) {
      if (request->first.starts_with("GET ")) {
        wire.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        continue;
      }
      const json body = json::parse(request->body);
      const bool continued = body.value("continue_final_message", false);
      const std::string written = continued ? body["messages"].back()["content"].get<std::string>() : "";
      const int end = continued ? -1 : reset_after();
      wire.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      std::string text;
      for (int i = 0; i < kEvents; ++i) {
        text += word(i);
        if (text.size() <= written.size()) continue;
        if (i == end || down) return wire.reset();
        wire.send(chunk({{"index", 0}, {"delta", {{"content", word(i)}}}, {"finish_reason", nullptr}}));
        std::this_thread::sleep_for(kEventInterval);
      }
      wire.send(chunk({{"index", 0}, {"delta", json::object()}, {"finish_reason", "stop"}}));
      wire.send("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
    }
  };
}

struct Totals {
  std::atomic<int> whole{0}, broken{0}, wrong{0}, lost{0};
  std::mutex mutex;
  std::vector<double> pauses;  // longest pause between two events in ms, of each complete stream
};

void ask(const std::string& address, Totals& totals) {
  const std::string body =
      json{{"model", "m"}, {"stream", true}, {"messages", {{{"role", "user"}, {"content", "go"}}}}}.dump();
  const auto wire = TestConnection::to(address);
  wire->send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body);
  if (wire->receive_head().status() != 200) {
    ++totals.broken;
    return;
  }
  std::string text;
  double longest = 0;
  bool done = false;
  for (auto last = Clock::now();;) {
    const std::string event = wire->receive_until("\n\n");
    const std::size_t at = event.find("data: ");
    if (at == std::string::npos) break;
    longest = std::max(longest, std::chrono::duration<double, std::milli>(Clock::now() - last).count());
    last = Clock::now();
    const std::string data = event.substr(at + 6);
    done |= data.starts_with("[DONE]");
    const json value = json::parse(data, nullptr, false);
    if (value.is_object() && value.contains("choices"))
      text += value["choices"][0]["delta"].value("content", "");
  }
  if (!done) {
    ++totals.broken;
    if (!whole_text().starts_with(text)) ++totals.wrong;
    return;
  }
  ++(text == whole_text() ? totals.whole : totals.wrong);
  const std::lock_guard lock(totals.mutex);
  totals.pauses.push_back(longest);
}

void measure(const char* continuation, bool at_once, int streams) {
  Totals totals;
  std::mt19937 random(20261201);
  std::mutex random_mutex;
  const auto reset_after = [&] {
    const std::lock_guard lock(random_mutex);
    if (at_once || random() % 4 != 0) return -1;
    ++totals.lost;
    return int(1 + random() % (kEvents - 2));
  };
  std::atomic<bool> down{false}, up{false};
  ScriptedServer one(simulated_instance(reset_after, down)), two(simulated_instance(reset_after, up)),
      three(simulated_instance(reset_after, up));
  const std::string address = unique_address();
  const json file = {
      {"listen", address},
      {"classes", {{{"name", "c"}, {"repeat", "safe"}, {"deadline_s", 10}, {"first_token_s", 5}}}},
      {"models", {{{"name", "m"}, {"class", "c"}, {"continuation", continuation}}}},
      {"boxes",
       {{{"id", "a"}, {"address", one.address()}},
        {{"id", "b"}, {"address", two.address()}},
        {{"id", "d"}, {"address", three.address()}}}}};
  Program program({"serve", "--appliance", temporary_file(file.dump())}, {});
  if (!Program::listens(address)) return;
  std::atomic<int> left{streams};
  std::vector<std::thread> clients;
  const int client_count = at_once ? streams : kClients;
  for (int i = 0; i < client_count; ++i) {
    clients.emplace_back([&] {
      while (left-- > 0) ask(address, totals);
    });
  }
  if (at_once) {
    std::this_thread::sleep_for(kEventInterval * kEvents / 2);
    down = true;
  }
  for (std::thread& client : clients) client.join();
  std::ranges::sort(totals.pauses);
  const auto at = [&](double quantile) {
    return totals.pauses.empty() ? 0.0
                                 : totals.pauses[std::size_t(quantile * double(totals.pauses.size() - 1))];
  };
  std::printf(
      "%-26s %-13s %4d streams, %3d whole, %3d broken, %d wrong; longest pause %.0f ms (p50), %.0f ms "
      "(p99)\n",
      at_once ? "one of three boxes dies:" : "a quarter reset:", continuation, streams, totals.whole.load(),
      totals.broken.load(), totals.wrong.load(), at(0.5), at(0.99));
  program.terminate();
  program.wait();
}

}  // namespace

int main(int argc, char** argv) {
  const int streams = argc > 1 ? std::atoi(argv[1]) : 240;
  for (const bool at_once : {false, true}) {
    for (const char* continuation : {"none", "final_message"})
      measure(continuation, at_once, at_once ? 200 : streams);
  }
  return 0;
}
