// Requests that arrive whole more than 0.7 s after SIGTERM, and what SIGKILL finds of them.
#include "../common/case.hpp"

using namespace stand_in;

namespace {

constexpr int kClients = 4;
constexpr int kPromptTokens = 5000;  // 20 KB
constexpr int kPieces = 12;
constexpr int kAnswerTokens = 100;  // consulta: 81 to 200
constexpr int kTokensPerEvent = 3;
constexpr double kTokenTime = 0.06;  // seconds: consulta's token_ms
constexpr double kDeadline = 7.5;    // seconds: consulta's
// STANDING and PROTOCOL: what came more than 0.7 s after SIGTERM must not be under way at SIGKILL. 50 ms of
// slack.
constexpr double kTakenLate = 0.75;
// SIGKILL comes no sooner than the longest deadline (3 s at most) and 0.7 s more; 0.1 s of slack.
constexpr double kKillAfter = 3.8;

void serve_instance(const Case& test, const std::string& name, bool prefill, Connection& wire) {
  while (const auto request = wire.message(kForever)) {
    if (request->first.rfind("GET", 0) == 0) {
      wire.send(response("200 OK", "concurrent=0"));
      continue;
    }
    if (request->first.find("/bootstrap/rooms/") != std::string::npos) {
      wire.send(request->first.rfind("POST", 0) == 0 ? response("409 Conflict") : response("204 No Content"));
      continue;
    }
    const std::string id = request->header("x-txn");
    if (prefill) {
      sleep_for(0.2);
      test.say(name + ": " + id + " prompt read");
      wire.send(response("202 Accepted", "{\"cached_tokens\":0}"));
      continue;
    }
    test.say(name + ": " + id + " answer begins");
    wire.send(kStreamHead);
    bool gone = false;
    for (int token = 0; token < kAnswerTokens && !gone; token += kTokensPerEvent) {
      gone = !wire.send(chunk(token_event("t" + std::to_string(token) + " "))) ||
             wire.closed_within(kTokenTime * kTokensPerEvent);
    }
    test.say(name + ": " + id + (gone ? " its connection was ended" : " answer complete"));
    if (gone) return;
    wire.send(chunk(last_events(kPromptTokens, kAnswerTokens)) + "0\r\n\r\n");
  }
}

// A client and what it saw.
struct Client {
  std::string id;
  std::atomic<double> connected{-1}, taken{-1}, first_event{-1}, ended{-1};
  std::atomic<int> status{0};
  std::atomic<bool> complete{false};
};

// Sends its request in pieces: evenly over `seconds`.
void ask_slowly(const Case& test, int port, double seconds, Client& client) {
  const auto wire = Connection::to(port);
  if (wire == nullptr) {
    test.say("client " + client.id + ": could not connect");
    client.ended = now_s();
    return;
  }
  client.connected = now_s();
  const std::string request = platform_request(client.id, "consulta", 7000, kPromptTokens, 500);
  const std::size_t piece = request.size() / kPieces + 1;
  const double begin_s = now_s();
  test.say("client " + client.id + ": sends a consulta of " + std::to_string(request.size()) + " bytes in " +
           std::to_string(kPieces) + " pieces");
  for (int i = 0; i < kPieces; ++i) {
    sleep_until(begin_s + seconds * i / (kPieces - 1));
    if (!wire->send(request.substr(static_cast<std::size_t>(i) * piece, piece))) break;
  }
  client.taken = now_s();
  test.say("client " + client.id + ": last byte of its request written");
  if (const auto head = wire->head(now_s() + 60)) {
    client.status = head->status();
    test.say("client " + client.id + ": " + head->first);
    if (head->header("transfer-encoding") == "chunked") {
      while (const auto size_line = wire->line(now_s() + 60)) {
        const std::size_t size = std::strtoul(size_line->c_str(), nullptr, 16);
        std::string bytes;
        if ((size > 0 && !wire->bytes(size, bytes, now_s() + 60)) || !wire->line(now_s() + 60)) break;
        if (client.first_event < 0 && size > 0) client.first_event = now_s();
        if (size == 0) client.complete = true;
        if (size == 0) break;
      }
    } else {
      client.complete = true;
    }
  }
  client.ended = now_s();
  test.say("client " + client.id +
           (client.complete ? ": has the whole answer"
                            : ": connection ended " + std::string(wire->reset() ? "by a reset, " : "") +
                                  "without the end of the answer"));
}

}  // namespace

int main(int argc, char** argv) {
  const Case test(argc, argv);
  Server reader([&](Connection& wire) { serve_instance(test, "s-lectura", true, wire); });
  Server writer_1([&](Connection& wire) { serve_instance(test, "s-escritura-1", false, wire); });
  Server writer_2([&](Connection& wire) { serve_instance(test, "s-escritura-2", false, wire); });
  const std::string list = list_line(1, {{"s-lectura", "lectura", reader.port()},
                                         {"s-escritura-1", "escritura", writer_1.port()},
                                         {"s-escritura-2", "escritura", writer_2.port()}});
  Discovery discovery(list);
  const int port = free_port();
  const std::string file = test.temporary + "/config.json";
  write_config(file, "n1", port, discovery.port(), list, platform_settings(kDeadline));
  test.say("started: " + std::string(kRun));
  Process program(test.root, kRun,
                  {{"PROXY_CONFIG", file},
                   {"PROXY_NAME", "n1"},
                   {"PROXY_LISTEN", address_of(port)},
                   {"PROXY_DISCOVERY", address_of(discovery.port())},
                   {"TMPDIR", test.temporary}},
                  test.temporary + "/program.log");
  if (!wait_for_status(port, "/-/ready", 200, 10)) test.end(kCouldNotRun, "the conductor was not ready");
  sleep_for(0.5);

  // Clients connect around SIGTERM, the last ones within the 0.2 s in which new connections keep coming, and
  // send their requests in pieces over 1.1 to 1.4 s. No wait is longer than 0.13 s.
  const double term_s = now_s() + 0.2;
  Client clients[kClients];
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) {
    clients[i].id = "c" + std::to_string(i);
    threads.emplace_back([&, i] {
      sleep_until(term_s - 0.1 + 0.09 * i);
      ask_slowly(test, port, 1.1 + 0.1 * i, clients[i]);
    });
  }
  sleep_until(term_s);
  if (test.trouble) {
    test.say("SIGTERM to the conductor");
    program.signal(SIGTERM);
    sleep_until(term_s + kKillAfter);
    if (program.exited()) {
      test.say("the conductor had ended before SIGKILL");
    } else {
      int open = 0;
      for (const Client& client : clients) open += client.ended < 0;
      test.say("SIGKILL to the conductor; requests without an end: " + std::to_string(open));
      program.signal(SIGKILL);
    }
  }
  for (std::thread& thread : threads) thread.join();

  int lost = 0, served = 0, refused = 0, early = 0;
  for (const Client& client : clients) {
    const double taken_after = client.taken - term_s;
    const bool late = client.connected >= 0 && client.taken >= 0 && taken_after > kTakenLate;
    const bool whole = client.complete;
    early += !late;
    served += whole && client.status == 200;
    refused += whole && client.status != 200;
    if (late && !whole) {
      ++lost;
      char text[160];
      std::snprintf(text, sizeof text,
                    "lost: %s, taken %.3f s after SIGTERM, status %d, first event %.3f s after it, "
                    "ended %.3f s after it",
                    client.id.c_str(), taken_after, int(client.status), client.first_event - term_s,
                    client.ended - term_s);
      test.say(text);
    }
  }
  const std::string counts = "served " + std::to_string(served) + ", refused or failed " +
                             std::to_string(refused) + ", lost " + std::to_string(lost) + " of " +
                             std::to_string(kClients);
  if (early == kClients) test.end(kCouldNotRun, "no request was taken late enough: " + counts);
  test.end(lost > 0 ? kBroken : kHeld, counts);
}
