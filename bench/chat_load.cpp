// CPU and memory of the whole program under chat requests, against simulated instances: `chat_load [REQUESTS]
// [LARGE BODIES] [KEYS FILE KEY]`. With KEYS FILE and KEY, requests carry an API key with limits and an
// Idempotency-Key each. Sends REQUESTS requests from 32 concurrent clients on a new connection each, and then
// holds a few requests with large bodies open. $BANKMUX_BINARY names another build to measure.
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "peers.hpp"

using nlohmann::json;
using namespace integration;

namespace {

constexpr int kClients = 32;
constexpr int kEvents = 40;
constexpr std::size_t kLargeBodyBytes = 8 * 1024 * 1024 - 4096;

std::string chunk(const std::string& bytes) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

double cpu_ms(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  std::getline(file, line);
  std::istringstream rest(line.substr(line.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) rest >> skipped;
  double user = 0, system = 0;
  rest >> user >> system;
  return (user + system) * 1000.0 / double(sysconf(_SC_CLK_TCK));
}

double resident_mb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  double size = 0, resident = 0;
  file >> size >> resident;
  return resident * double(sysconf(_SC_PAGESIZE)) / 1e6;
}

void serve_instance(TestConnection& wire) {
  const std::string event = chunk(
      "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"some "
      "words\"},\"finish_reason\":null}]}\n\n");
  while (const auto request = wire.receive()) {
    if (request->first.starts_with("GET ")) {
      wire.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    } else if (request->body.size() > 1'000'000) {
      wire.closed_within(5000);
      return;
    } else if (request->body.find("\"stream\":true") != std::string::npos) {
      wire.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int i = 0; i < kEvents; ++i) wire.send(event);
      wire.send(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    } else {
      const std::string answer =
          json{{"choices", {{{"message", {{"content", std::string(800, 'x')}}}}}}}.dump();
      wire.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(answer.size()) + "\r\n\r\n" + answer);
    }
  }
}

std::string request(const json& body, const std::string& headers = "") {
  const std::string text = body.dump();
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers +
         "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
}

json body(bool stream, std::size_t characters) {
  return {{"model", "m"},
          {"stream", stream},
          {"messages", {{{"role", "user"}, {"content", std::string(characters, 'x')}}}}};
}

// CPU time of the program per request, in milliseconds.
double measure(pid_t pid, const std::string& address, const json& body, const std::string& key,
               int requests) {
  static std::atomic<int> number{0};
  std::atomic<int> left{requests}, failed{0};
  const double before = cpu_ms(pid);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] {
      while (left-- > 0) {
        const auto wire = TestConnection::to(address);
        std::string headers;
        if (!key.empty()) {
          headers =
              "Authorization: Bearer " + key + "\r\nIdempotency-Key: n" + std::to_string(++number) + "\r\n";
        }
        wire->send(request(body, headers));
        if (!wire->receive_all().starts_with("HTTP/1.1 200")) ++failed;
      }
    });
  }
  for (std::thread& client : clients) client.join();
  if (failed > 0) std::printf("%d requests were not served\n", failed.load());
  return (cpu_ms(pid) - before) / requests;
}

}  // namespace

int main(int argc, char** argv) {
  const int requests = argc > 1 ? std::atoi(argv[1]) : 4000;
  const int large_open = argc > 2 ? std::atoi(argv[2]) : 4;
  ScriptedServer one(serve_instance), two(serve_instance);
  const std::string address = unique_address();
  const std::string key = argc > 4 ? argv[4] : "";
  json file = {
      {"listen", address},
      {"memory_mb", 1024},
      {"classes", {{{"name", "c"}, {"repeat", "safe"}, {"deadline_s", 30}, {"first_token_s", 20}}}},
      {"models", {{{"name", "m"}, {"class", "c"}}}},
      {"boxes", {{{"id", "a"}, {"address", one.address()}}, {{"id", "b"}, {"address", two.address()}}}}};
  if (!key.empty()) file["keys"] = argv[3];
  // $CONTINUATION sets the model's `continuation`, to measure the cost of storing each stream's events.
  if (const char* continuation = std::getenv("CONTINUATION"))
    file["models"][0]["continuation"] = continuation;
  Program program({"serve", "--appliance", temporary_file(file.dump())}, {});
  if (!Program::listens(address)) return 1;
  std::printf("at start            %8.1f MB resident\n", resident_mb(program.pid()));
  for (const bool stream : {true, false}) {
    const double ms = measure(program.pid(), address, body(stream, 400), key, requests);
    std::printf("%s %8.3f ms of CPU a request\n", stream ? "streamed, 40 events" : "whole answer       ", ms);
  }
  const double before = resident_mb(program.pid());
  std::printf("after %5d         %8.1f MB resident\n", 2 * requests, before);
  std::vector<std::unique_ptr<TestConnection>> open;
  for (int i = 0; i < large_open; ++i) {
    open.push_back(TestConnection::to(address));
    open.back()->send(request(body(false, kLargeBodyBytes)));
  }
  if (large_open > 0) std::this_thread::sleep_for(std::chrono::seconds(1));
  if (large_open > 0)
    std::printf("an open 8 MiB body  %8.1f MB resident each\n",
                (resident_mb(program.pid()) - before) / large_open);
  open.clear();
  program.terminate();
  return program.wait();
}
