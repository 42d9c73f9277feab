// The memory that clients can make HttpServer hold, measured at the heap while many of them send at once.
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "heap.hpp"
#include "net/http/http_server.hpp"
#include "net/loop/loop.hpp"
#include "peers.hpp"

using namespace bankmux;
using namespace integration;

namespace {

constexpr int kClients = 64;
constexpr std::size_t kHeldLimit = 512 * 1024;
constexpr std::size_t kUnsentLimit = 32 * 1024;
// Buffers and objects of one connection, without what its client has sent.
constexpr std::size_t kConnectionBytes = 8 * 1024;
// A growing string takes up to twice its content.
constexpr std::size_t kHeapLimit = 2 * kHeldLimit + kClients * kConnectionBytes;
constexpr int kLoopTurns = 40;  // a connection reads 16 KiB in each

// A server that answers requests for `/now` at once and keeps all others open.
struct CrowdedServer {
  net::Loop loop;
  std::string address = unique_address();
  std::vector<std::unique_ptr<net::IncomingRequest>> open;
  net::HttpServer server{
      loop,
      address,
      [this](std::unique_ptr<net::IncomingRequest> incoming) {
        if (incoming->target() == "/now") return incoming->answer(200, {}, "now");
        open.push_back(std::move(incoming));
      },
      {.connections = 2 * kClients, .held_bytes = kHeldLimit, .unsent_bytes = kUnsentLimit}};
  std::vector<std::unique_ptr<TestConnection>> clients;
  std::size_t peak = 0;  // bytes of the heap beyond those before the clients sent

  // Connects all clients; each sends `text`, which fits into the kernel's buffers.
  void send_from_all(const std::string& text) {
    for (int i = 0; i < kClients; ++i) clients.push_back(TestConnection::to(address));
    run();
    const std::size_t before = heap_bytes();
    for (const auto& client : clients) client->send(text);
    run([&] { peak = std::max(peak, heap_bytes() - std::min(before, heap_bytes())); });
  }
  // Lets the loop handle what is ready, repeatedly.
  void run(const std::function<void()>& after_turn = [] {}) {
    for (int turn = 0; turn < kLoopTurns; ++turn) {
      loop.soon([this] { loop.stop(); });
      loop.run();
      after_turn();
    }
  }
  std::string ask_now() {
    const auto client = TestConnection::to(address);
    client->send("GET /now HTTP/1.1\r\nConnection: close\r\n\r\n");
    run();
    return client->receive_head().first;
  }
};

std::string repeated(const std::string& text, std::size_t bytes) {
  std::string all;
  while (all.size() + text.size() <= bytes) all += text;
  return all;
}

const std::string kHead = "POST /later HTTP/1.1\r\n";
constexpr std::size_t kAlmostAHead = 30 * 1024;
constexpr std::size_t kAlmostABody = 100 * 1024;
constexpr std::size_t kAlmostReadAhead = 60 * 1024;

}  // namespace

// Guards against conductors killed for memory: short lines took 16 times their length.
TEST_CASE("Memory: endless heads of short lines are refused after a bounded number of fields") {
  CrowdedServer crowd;
  crowd.send_from_all(kHead + repeated("a: 1\r\n", kAlmostAHead));
  CHECK(crowd.peak < kHeapLimit);
  CHECK(crowd.clients.front()->receive_head().first == "HTTP/1.1 431 Request Header Fields Too Large");
}

// Guards against heads that no limit on the total counted, and against small requests that pay for large
// ones.
TEST_CASE("Memory: unfinished heads count towards the total, and the largest are refused") {
  CrowdedServer crowd;
  crowd.send_from_all(kHead + repeated("a: " + std::string(5000, 'x') + "\r\n", kAlmostAHead));
  CHECK(crowd.peak < kHeapLimit);
  CHECK(crowd.ask_now() == "HTTP/1.1 200 OK");
  CHECK(crowd.clients.front()->receive_head().first == "HTTP/1.1 503 Service Unavailable");
}

// Guards against a refused body whose memory stayed until its connection ended.
TEST_CASE("Memory: a refused body is freed at once") {
  CrowdedServer crowd;
  crowd.send_from_all(kHead + "Content-Length: 200000\r\n\r\n" + std::string(kAlmostABody, 'x'));
  CHECK(crowd.peak < kHeapLimit);
  CHECK(crowd.ask_now() == "HTTP/1.1 200 OK");
}

// Guards against input behind an open request that no limit on the total counted.
TEST_CASE("Memory: input behind open requests counts, and the open requests are still answered") {
  CrowdedServer crowd;
  crowd.send_from_all(kHead + "\r\n" + repeated("GET /now HTTP/1.1\r\n\r\n", kAlmostReadAhead));
  CHECK(crowd.peak < kHeapLimit);
  REQUIRE(crowd.open.size() == kClients);
  for (const auto& request : crowd.open) request->answer(200, {}, "later");
  crowd.run();
  for (const auto& client : crowd.clients) CHECK(client->receive_head().first == "HTTP/1.1 200 OK");
}

// Guards against streams that fill the memory together, although each of them is bounded.
TEST_CASE("Memory: a stream whose client does not read is paused at the server's limit") {
  CrowdedServer crowd;
  crowd.send_from_all(kHead + "\r\n");
  REQUIRE(crowd.open.size() == kClients);
  const std::string piece(1024, 'x');
  std::size_t most_written = 0;
  for (const auto& request : crowd.open) {
    request->begin(200, {});
    std::size_t written = 0;
    // The loop does not run, so that nothing reaches the kernel.
    while (!request->wait_for_output_room([] {}) && written < 2 * kUnsentLimit) {
      request->chunk(piece);
      written += piece.size();
    }
    most_written = std::max(most_written, written);
  }
  CHECK(most_written <= kUnsentLimit);
  CHECK(most_written > kUnsentLimit / 2);
}

// Guards against large usual requests that pay for bad clients, because they hold the most for a moment.
TEST_CASE("Memory: a large request that is still arriving is served beside smaller ones that have stalled") {
  constexpr int kPieces = 4;
  CrowdedServer crowd;
  crowd.send_from_all(kHead + "Content-Length: 200000\r\n\r\n" + std::string(kAlmostABody, 'x'));
  const auto large = TestConnection::to(crowd.address);
  large->send("POST /now HTTP/1.1\r\nContent-Length: " + std::to_string(kPieces * kAlmostReadAhead) +
              "\r\n\r\n");
  for (int piece = 0; piece < kPieces; ++piece) {
    large->send(std::string(kAlmostReadAhead, 'x'));
    crowd.run();
  }
  CHECK(large->receive_head().first == "HTTP/1.1 200 OK");
  CHECK(crowd.peak < kHeapLimit);
}
