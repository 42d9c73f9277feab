// Bad clients send endless heads of short lines, two hundred at once, beside the streams of usual clients.
// The platform's part is played here: a conductor whose memory goes over its limit is killed.
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <memory>

#include "../common-2/rig.hpp"

using namespace rig;

namespace {

// The lines of the endless heads.
constexpr const char* kHeaderLine = "a: 1\r\n";
constexpr int kBadClients = 200, kUsual = 8;
constexpr int kMemoryMb = 32, kSockets = 512;
constexpr double kStreamMs = 4000, kBadAfterMs = 1500, kBadForMs = 10000;

// Resident memory of a process in MB without the pages of files, which other processes may share; 0 if it
// has ended.
double memory_mb(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  std::int64_t total = 0, resident = 0, shared = 0;
  if (!(file >> total >> resident >> shared)) return 0;
  return double(resident - shared) * double(sysconf(_SC_PAGESIZE)) / (1024.0 * 1024);
}

std::string in_mb(double amount) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f MB", amount);
  return text;
}

// A client that sends a head without an end, as fast as it is read, until its connection is ended.
struct BadClient {
  std::unique_ptr<Wire> wire;
  std::size_t sent = 0;
  double begun = 0;
  bool answered = false;
};

const std::string kHeadBegin = "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\n";

// The first lines, and as many others as are sent at once; these are repeated.
std::string head_without_end() {
  std::string text = kHeadBegin;
  for (int i = 0; i < 8192; ++i) text += kHeaderLine;
  return text;
}

// Sends and reads what is possible at once; false once the connection has ended.
bool go_on(BadClient& bad, const std::string& text) {
  const int fd = bad.wire->fd();
  char bytes[4096];
  const ssize_t got = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got > 0) bad.answered = true;
  if (got == 0 || (got < 0 && errno != EAGAIN)) return false;
  const std::size_t first = kHeadBegin.size();
  const std::size_t at = bad.sent < first ? bad.sent : first + (bad.sent - first) % (text.size() - first);
  const ssize_t put = send(fd, text.data() + at, text.size() - at, MSG_DONTWAIT | MSG_NOSIGNAL);
  if (put > 0) bad.sent += std::size_t(put);
  return put > 0 || errno == EAGAIN;
}

void send_endless_heads(const std::string& listen) {
  const std::string text = head_without_end();
  std::vector<BadClient> all(kBadClients);
  for (BadClient& bad : all) {
    bad.wire = std::make_unique<Wire>(Wire::dial(listen));
    bad.begun = now_ms();
  }
  note(std::to_string(kBadClients) + " bad clients have connected and send endless heads");
  std::size_t open = all.size(), bytes = 0;
  int answered = 0;
  double longest = 0;
  for (const double until = now_ms() + kBadForMs; open > 0 && now_ms() < until;) {
    for (BadClient& bad : all) {
      if (!bad.wire || go_on(bad, text)) continue;
      bytes += bad.sent;
      answered += bad.answered ? 1 : 0;
      longest = std::max(longest, now_ms() - bad.begun);
      bad.wire.reset();
      --open;
    }
  }
  note("of the bad clients " + std::to_string(all.size() - open) + " have been ended, " +
       std::to_string(answered) + " after an answer, the last after " + std::to_string(int(longest)) +
       " ms; they sent " + std::to_string(bytes / 1024) + " KiB");
}

}  // namespace

int main(int, char** arguments) {
  open_record(arguments[1]);
  World world;
  const Pace reader{20000, 0, 0, 5, 8, 0, 0};
  const Pace writer{7000, 20, int(kStreamMs / 20), 5, 60, 0, 0};
  std::vector<std::unique_ptr<Instance>> instances;
  std::vector<Listed> list;
  for (const char* kind : {"lectura", "lectura", "escritura", "mixto", "mixto"}) {
    const std::string id = "s-" + std::to_string(list.size()) + "-" + kind;
    const Pace& pace = std::string(kind) == "lectura" ? reader : writer;
    instances.push_back(std::make_unique<Instance>(world, id, kind, pace, 0, "quito-norte"));
    list.push_back(instances.back()->listed());
  }
  Discovery discovery(list);
  const std::string listen = free_address();
  const std::string config = write_config(temporary_folder(), "n0", listen, discovery.address(), list,
                                          small_site_settings(1), "", kSockets, kMemoryMb);
  Program conductor("n0", run_command(), {{"PROXY_CONFIG", config}, {"TMPDIR", temporary_folder()}});
  if (!wait_ready(listen, 10000)) return verdict(kNotRun, "the conductor is not ready");
  note("the conductor holds " + in_mb(memory_mb(conductor.pid())) + " of " + std::to_string(kMemoryMb));

  // The platform: over `memory_mb` the conductor is killed.
  std::atomic<bool> over{false}, done{false};
  std::atomic<double> peak{0};
  std::thread platform([&] {
    while (!done && !over) {
      const double now = memory_mb(conductor.pid());
      if (now > peak) peak = now;
      if (now > kMemoryMb) {
        note("the conductor holds " + in_mb(now) + ", over its limit, and is killed");
        kill(conductor.pid(), SIGKILL);
        over = true;
      }
      sleep_ms(2);
    }
  });
  std::atomic<int> served{0}, lost{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kUsual; ++i) {
    clients.emplace_back([&, i] {
      Ask ask;
      ask.id = "u" + std::to_string(1000 + i);
      ask.lane = i % 2 == 0 ? "consulta" : "ajuste";
      ask.entity = "e" + std::to_string(i);
      world.client_sends(ask.id);
      Wire wire(Wire::dial(listen));
      wire.send(request_bytes(ask));
      const Reply reply = read_reply(wire, now_ms() + 20000);
      note("client of " + ask.id + " (" + ask.lane + ") hears " + std::to_string(reply.status) + ", " +
           std::to_string(reply.pieces.size()) + " pieces, " +
           (reply.served() ? "whole" : "cut off or without an answer"));
      ++(reply.served() ? served : lost);
    });
  }
  sleep_ms(kBadAfterMs);
  if (trouble()) send_endless_heads(listen);
  for (std::thread& client : clients) client.join();
  done = true;
  platform.join();
  note("the conductor's memory was " + in_mb(peak) + " at most");
  const bool ended = conductor.ended(over ? 2000 : 0).has_value();
  if (!ended) {
    conductor.signal(SIGTERM);
    (void)conductor.ended(5000);
  }
  discovery.stop();
  for (const auto& instance : instances) instance->stop();
  return verdict(over || ended || lost > 0 ? kBroken : kHeld,
                 std::string(over ? "killed for memory; " : "") + std::to_string(kUsual) +
                     " usual requests: " + std::to_string(served) + " served, " + std::to_string(lost) +
                     " lost");
}
