// A crowd of bad clients, and instances and a discovery service that answer without end, all at once against
// one process of the program, whose resident memory must stay below its limit. Usual clients get an answer
// meanwhile, most of them a whole one. Needs the program without sanitizers, whose memory is many times that
// of the program itself.
//
//   bankmux_memory_crowd [--seed N] [--memory-mb N] [--sockets N] [--seconds N] [--unread-percent N]
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <random>
#include <thread>

#include "integration/platform_fixture.hpp"

using namespace integration;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int kInstances = 4;
constexpr int kUsualClients = 4;
constexpr std::size_t kEndlessBytes = 3 * 1024 * 1024;  // more than any single answer may hold
constexpr std::size_t kRequestBodyBytes = 256 * 1024;
constexpr std::size_t kStreamEvents = 2'000;
constexpr std::size_t kUnreadStreamBytes = 8 * 1024 * 1024;  // more than the kernel holds of a connection
constexpr int kSmallReceiveBuffer = 4 * 1024;
constexpr int kKilobytesPerMegabyte = 1024;
constexpr int kMaxConnectionsPerSocket = 2;  // bad clients for each descriptor of the program

std::string repeated(const std::string& text, std::size_t bytes) {
  std::string all;
  while (all.size() < bytes) all += text;
  return all;
}

// What one bad client sends, and whether it reads what it is sent.
struct BadBehaviour {
  std::string input;
  bool reads = true;
};

std::string bad_request(const std::string& id, const std::string& body = "{\"a\": 1}") {
  return client_request("bad-" + id, "consulta", 5000, 400, "", body);
}

std::vector<BadBehaviour> fixed_behaviours() {
  const std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n";
  const std::string unfinished_body(kRequestBodyBytes - 1, 'x');
  return {{head + repeated("a: 1\r\n", 31 * 1024)},
          {head + "a: " + std::string(15 * 1024, 'x') + "\r\nb: " + std::string(14 * 1024, 'x')},
          {head + "Content-Length: " + std::to_string(kRequestBodyBytes) + "\r\n\r\n" + unfinished_body},
          {head + "Transfer-Encoding: chunked\r\n\r\n" +
           repeated("400;" + std::string(1000, 'e') + "\r\n" + std::string(1024, 'x') + "\r\n",
                    2 * kRequestBodyBytes)}};
}

// Either one of the fixed behaviours, or a request for which an instance answers badly: with more input
// behind it, with a long body, or without reading the answer.
BadBehaviour draw_behaviour(std::mt19937_64& random, int number) {
  static const std::vector<BadBehaviour> kFixed = fixed_behaviours();
  static const std::string kInputBehind = repeated(bad_request("behind"), 60 * 1024);
  static const std::string kLongBody(kRequestBodyBytes - 1024, ' ');
  const std::size_t kind = random() % (kFixed.size() + 3);
  if (kind < kFixed.size()) return kFixed[kind];
  const std::string id = std::to_string(number);
  if (kind == kFixed.size()) return {bad_request(id) + kInputBehind};
  if (kind == kFixed.size() + 1) return {bad_request(id, kLongBody), false};
  return {bad_request(id), false};
}

BadBehaviour unread_stream(int number) { return {bad_request("unread-" + std::to_string(number)), false}; }

// A client connection that is never blocked on.
class BadClient {
 public:
  BadClient(const std::string& address, BadBehaviour behaviour) : behaviour_(std::move(behaviour)) {
    socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (!behaviour_.reads) {
      setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &kSmallReceiveBuffer, sizeof kSmallReceiveBuffer);
    }
    sockaddr_in to{};
    to.sin_family = AF_INET;
    const std::size_t colon = address.find(':');
    to.sin_port = htons(std::uint16_t(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    (void)::connect(socket_, reinterpret_cast<sockaddr*>(&to), sizeof to);
  }
  ~BadClient() { ::close(socket_); }
  BadClient(const BadClient&) = delete;
  BadClient& operator=(const BadClient&) = delete;

  // Sends and receives what is possible at once; false once the other side has closed.
  bool step() {
    if (sent_ < behaviour_.input.size()) {
      const ssize_t sent = ::send(socket_, behaviour_.input.data() + sent_, behaviour_.input.size() - sent_,
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && errno != EAGAIN && errno != ENOTCONN && errno != EINPROGRESS) return false;
      if (sent > 0) sent_ += std::size_t(sent);
    }
    if (!behaviour_.reads) return true;
    char buffer[16 * 1024];
    const ssize_t received = ::recv(socket_, buffer, sizeof buffer, MSG_DONTWAIT);
    return received > 0 || (received < 0 && (errno == EAGAIN || errno == ENOTCONN));
  }

 private:
  BadBehaviour behaviour_;
  std::size_t sent_ = 0;
  int socket_ = -1;
};

// Answers usual requests as they expect, and those of bad clients in one of several bad ways.
class Instances {
 public:
  explicit Instances(std::uint64_t seed) : random_(seed) {
    for (int i = 0; i < kInstances; ++i) {
      servers_.push_back(std::make_unique<ScriptedServer>([this](TestConnection& wire) { serve(wire); }));
    }
  }
  [[nodiscard]] std::vector<Platform::Instance> list() const {
    std::vector<Platform::Instance> all;
    for (const auto& server : servers_) {
      all.push_back({"i" + std::to_string(all.size()), "mixto", server->address()});
    }
    return all;
  }

 private:
  void serve(TestConnection& wire) {
    while (const auto request = wire.receive()) {
      const auto id = request->headers.find("x-txn");
      const bool bad = id != request->headers.end() && id->second.starts_with("bad");
      if (!request->first.starts_with("POST /v1")) {
        wire.send(plain_response("200 OK"));
      } else if (!bad) {
        wire.send(event_stream({"{\"choices\":[]}", "[DONE]"}));
      } else {
        wire.send(id->second.starts_with("bad-unread") ? unread_stream_ : answers_[draw()]);
      }
    }
  }
  std::size_t draw() {
    const std::lock_guard lock(mutex_);
    return random_() % answers_.size();
  }
  std::mutex mutex_;
  std::mt19937_64 random_;
  static std::string stream(std::size_t bytes) {
    const std::string event =
        "data: {\"choices\":[{\"delta\":{\"content\":\"" + std::string(500, 'x') + "\"}}]}\n\n";
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + repeated(event, bytes);
  }
  const std::string unread_stream_ = stream(kUnreadStreamBytes);
  const std::string endless_ = std::string(kEndlessBytes, 'x');
  const std::vector<std::string> answers_{
      "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: 9000000\r\n\r\n" + endless_,
      "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 9000000\r\n\r\n" + endless_,
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: " + endless_,
      "HTTP/1.1 200 OK\r\n" + repeated("a: 1\r\n", 63 * 1024),
      stream(kStreamEvents * 500),
      event_stream({"{\"choices\":[]}", "[DONE]"}),
  };
  std::vector<std::unique_ptr<ScriptedServer>> servers_;
};

// Peak of the resident memory of a process.
class MemoryWatch {
 public:
  explicit MemoryWatch(pid_t process) : process_(process), thread_([this] { run(); }) {}
  ~MemoryWatch() {
    ending_ = true;
    thread_.join();
  }
  MemoryWatch(const MemoryWatch&) = delete;
  MemoryWatch& operator=(const MemoryWatch&) = delete;
  [[nodiscard]] long peak_kb() const { return peak_kb_; }

 private:
  void run() {
    while (!ending_) {
      std::ifstream file("/proc/" + std::to_string(process_) + "/status");
      for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmRSS:")) peak_kb_ = std::max<long>(peak_kb_, std::stol(line.substr(6)));
      }
      std::this_thread::sleep_for(1ms);
    }
  }
  pid_t process_;
  std::atomic<bool> ending_ = false;
  std::atomic<long> peak_kb_ = 0;
  std::thread thread_;
};

struct Counts {
  std::atomic<int> served = 0, refused = 0, unanswered = 0;
};

void run_usual_client(const Platform& platform, int client, const std::atomic<bool>& ending, Counts& counts) {
  for (int i = 0; !ending; ++i) {
    const std::string id = "usual-" + std::to_string(client) + '-' + std::to_string(i);
    const std::string answer = platform.ask(client_request(id, "consulta", 4000));
    if (answer.starts_with("HTTP/1.1 200") && answer.find("[DONE]") != std::string::npos) {
      ++counts.served;
    } else if (answer.starts_with("HTTP/1.1 ")) {
      ++counts.refused;
    } else {
      ++counts.unanswered;
    }
    std::this_thread::sleep_for(20ms);
  }
}

// A line of a million values where a list is expected, which is refused after it has been parsed.
std::string endless_list() {
  return "{\"version\":7,\"full\":true,\"servers\":[" + repeated("0,", 1'900'000) + "0]}";
}

struct Options {
  std::uint64_t seed = 1;
  long memory_mb = 32;
  int sockets = 512;
  double seconds = 6.0;
  int unread_percent = 0;  // of the bad clients, which have a long stream and read nothing of it
};

int run(const Options& options) {
  Instances instances(options.seed);
  Platform platform(instances.list(), site_settings(), {},
                    {{"cores", 1.0}, {"memory_mb", options.memory_mb}, {"sockets", options.sockets}});
  const MemoryWatch memory(platform.program().pid());
  std::this_thread::sleep_for(200ms);
  const long idle_kb = memory.peak_kb();

  std::atomic<bool> ending = false;
  Counts counts;
  std::vector<std::thread> usual;
  for (int i = 0; i < kUsualClients; ++i) {
    usual.emplace_back([&, i] { run_usual_client(platform, i, ending, counts); });
  }
  platform.push(endless_list());
  std::mt19937_64 random(options.seed);
  int number = 0;
  std::vector<std::unique_ptr<BadClient>> crowd(std::size_t(options.sockets * kMaxConnectionsPerSocket));
  const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(options.seconds);
  while (std::chrono::steady_clock::now() < end) {
    for (auto& client : crowd) {
      if (client != nullptr && client->step()) continue;
      const bool unread = int(random() % 100) < options.unread_percent;
      client = std::make_unique<BadClient>(
          platform.address(), unread ? unread_stream(++number) : draw_behaviour(random, ++number));
    }
    std::this_thread::sleep_for(1ms);
  }
  ending = true;
  for (std::thread& client : usual) client.join();
  crowd.clear();

  const long limit_kb = options.memory_mb * kKilobytesPerMegabyte;
  const bool within = memory.peak_kb() < limit_kb;
  std::printf(
      "seed %llu, %ld MB, %d descriptors: resident %.1f MB idle, %.1f MB at most; %d bad clients; usual "
      "requests: %d served, %d refused, %d unanswered%s\n",
      static_cast<unsigned long long>(options.seed), options.memory_mb, options.sockets,
      double(idle_kb) / kKilobytesPerMegabyte, double(memory.peak_kb()) / kKilobytesPerMegabyte, number,
      counts.served.load(), counts.refused.load(), counts.unanswered.load(),
      within ? "" : ": OVER THE LIMIT");
  platform.program().terminate();
  const int status = platform.program().wait();
  if (status != 0)
    std::printf("the program ended with %d\n%s\n", status, platform.program().output().c_str());
  // Streams that nobody reads stay open and rightly fill the table.
  const bool table_free = options.unread_percent == 0;
  const bool usual_served = counts.unanswered == 0 && (!table_free || counts.served > counts.refused);
  return within && status == 0 && usual_served ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  CLI::App app("Measures the program's memory in a crowd of bad peers");
  app.add_option("--seed", options.seed);
  app.add_option("--memory-mb", options.memory_mb);
  app.add_option("--sockets", options.sockets);
  app.add_option("--seconds", options.seconds);
  app.add_option("--unread-percent", options.unread_percent);
  CLI11_PARSE(app, argc, argv);
  return run(options);
}
