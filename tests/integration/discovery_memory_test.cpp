// The memory that discovery can make DiscoveryWatch hold, measured at the heap.
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "config/config.hpp"
#include "heap.hpp"
#include "net/loop/loop.hpp"
#include "net/platform/discovery_watch.hpp"
#include "peers.hpp"
#include "platform_fixture.hpp"

using namespace bankmux;
using namespace integration;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kLineBytes = 2 * 1024 * 1024;  // docs/capacity.md
constexpr std::size_t kEndlessBytes = 24 * 1024 * 1024;
// The input of a line, and the growing string that it is collected in, which takes up to twice its content
// and as much again while it is moved.
constexpr std::size_t kHeapLimit = 5 * kLineBytes;

const std::string kListHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

config::Config watch_of(const std::string& service) {
  nlohmann::json settings = site_settings();
  settings["registryMode"] = "on_request";  // without the time limit of an agent on the same machine
  return config::parse_config({{"name", "n1"},
                               {"listen", unique_address()},
                               {"discovery", service},
                               {"known", nlohmann::json::parse(Platform::line(1, true, {}))},
                               {"settings", settings}},
                              [](const char*) { return nullptr; });
}

// A watch of a service that answers its first call with `bad`, and each later one with a list.
struct WatchedDiscovery {
  explicit WatchedDiscovery(std::string bad) : bad_answer(std::move(bad)) {}
  // Runs the loop until the list is there; the peak of the heap beyond what it was before, in bytes.
  std::size_t run_until_listed() {
    const std::size_t before = heap_bytes();
    std::size_t peak = before;
    watch.open();
    const core::Time end = loop.now() + 20s;
    while (!listed && loop.now() < end) {
      loop.soon([this] { loop.stop(); });
      loop.run();
      peak = std::max(peak, heap_bytes());
    }
    return peak - before;
  }

  const std::string bad_answer;
  std::atomic<int> calls = 0;
  ScriptedServer service{[this](TestConnection& wire) {
    if (!wire.receive()) return;
    if (++calls == 1) {
      wire.send(bad_answer);
    } else {
      wire.send(kListHead + chunk(Platform::line(2, true, {{"w", "mixto", "127.0.0.1:1"}}) + "\n"));
    }
    (void)wire.closed_within(10'000);
  }};
  config::Config configuration = watch_of(service.address());
  net::Loop loop;
  bool listed = false;
  net::DiscoveryWatch watch{loop, configuration, [this](const core::FleetUpdate& update) {
                              listed = listed || !update.entries.empty();
                            }};
};

std::string endless(const std::string& text) {
  std::string all;
  while (all.size() < kEndlessBytes) all += text;
  return all;
}

void check_bounded(const std::string& bad_answer) {
  WatchedDiscovery discovery(bad_answer);
  CHECK(discovery.run_until_listed() < kHeapLimit);
  CHECK(discovery.listed);
}

}  // namespace

// Guards against conductors killed for memory by a discovery service whose answer does not end.
TEST_CASE("Memory: a chunk of discovery that is longer than any list is not collected") {
  check_bounded(kListHead + chunk(endless(" ")));
}

TEST_CASE("Memory: a line of discovery that is longer than any list is not collected") {
  const std::string piece = chunk(std::string(16 * 1024, ' '));
  check_bounded(kListHead + endless(piece));
}

TEST_CASE("Memory: an answer of discovery whose head does not end is not collected") {
  check_bounded("HTTP/1.1 200 OK\r\n" + endless("a: 1\r\n"));
}
