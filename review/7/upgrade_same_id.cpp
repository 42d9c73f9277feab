// A new version is started beside the old one while a client's `ajuste` streams. A bad client sends the id of
// that open request. Judged: whether it hears an error, and whether the `ajuste` runs once and reaches its
// client.
#include <sys/socket.h>

#include <cstdlib>
#include <memory>

#include "../common-2/rig.hpp"

using namespace rig;

int main(int, char** arguments) {
  open_record(arguments[1]);
  World world;
  const Pace reader{20000, 0, 0, 5, 8, 0, 0};
  const Pace writer{7000, 80, 130, 5, 60, 0, 0};  // the longest `ajuste`: 130 tokens, one every 80 ms
  std::vector<std::unique_ptr<Instance>> instances;
  const char* kinds[] = {"lectura", "escritura", "mixto", "mixto"};
  for (int i = 0; i < 4; ++i) {
    const std::string kind = kinds[i];
    instances.push_back(std::make_unique<Instance>(world, "s-" + std::to_string(i) + "-" + kind, kind,
                                                   kind == "lectura" ? reader : writer, 0, "quito-norte"));
  }
  std::atomic<int> arrivals{0};
  Ask ask;
  ask.id = "9b1f03aa5c7e2d41";
  ask.lane = "ajuste";
  ask.entity = "7f3a9c21e0b4d655";
  ask.remaining_ms = 12000;
  ask.prompt_tokens = 3600;
  ask.prefix = "5c0f6e1a2b3d4c59";
  ask.prefix_tokens = 3300;
  for (const auto& instance : instances) {
    const Listed row = instance->listed();
    instance->on_request = [&, row](const Message& request, double) {
      if (row.kind == "lectura" || request.header("X-Txn") != ask.id) return;
      note("arrival " + std::to_string(++arrivals) + " of the ajuste " + ask.id + " at " + row.id);
    };
  }
  std::vector<Listed> list;
  for (const auto& instance : instances) list.push_back(instance->listed());
  Discovery discovery(list);

  // The platform holds the clients' listening socket; every process of the conductor inherits it.
  const std::string listen_at = free_address();
  const int passed = listening_socket(listen_at);
  const std::string old_page = free_address(), new_page = free_address();
  const auto start = [&](const char* name, const std::string& page) {
    const std::string config = write_config(temporary_folder(), "n0", listen_at, discovery.address(), list,
                                            small_site_settings(1), page);
    return std::make_unique<Program>(name, run_command(),
                                     std::map<std::string, std::string>{{"PROXY_CONFIG", config},
                                                                        {"PROXY_MGMT", page},
                                                                        {"PROXY_PASSED_SOCKET", "5"},
                                                                        {"TMPDIR", temporary_folder()}},
                                     passed);
  };
  const std::unique_ptr<Program> old_process = start("old", old_page);
  if (!wait_ready(old_page, 10000)) return verdict(kNotRun, "the old process is not ready");

  // The usual client, whose `ajuste` streams from now on for 10 s.
  std::atomic<bool> begun{false}, client_over{false};
  Reply reply;
  const double deadline = now_ms() + 60000;
  world.client_sends(ask.id);
  std::thread client([&] {
    Wire wire(Wire::dial(listen_at));
    note("client sends " + ask.id + " (ajuste)");
    wire.send(request_bytes(ask));
    reply = read_reply(wire, deadline, [&](std::string_view) { begun = true; });
    note("client hears " + std::to_string(reply.status) + ", " + std::to_string(reply.pieces.size()) +
         " events, " +
         (reply.whole    ? "whole"
          : wire.reset() ? "reset"
                         : "not whole"));
    client_over = true;
  });
  while (!begun && !client_over) sleep_ms(5);
  sleep_ms(300);
  std::unique_ptr<Program> new_process;
  if (trouble()) {
    new_process = start("new", new_page);
    if (!wait_ready(new_page, 6000)) {
      client.join();
      return verdict(kNotRun, "the new process is not ready");
    }
    note("the new process says ready");
  }
  // The bad client: the same bytes on new connections, before the old process is told to end. It reads
  // whatever it is sent.
  int errors = 0, closed = 0, served = 0;
  std::thread bad_reader;
  for (int i = 0; i < 24 && served == 0; ++i) {
    auto wire = std::make_shared<Wire>(Wire::dial(listen_at));
    wire->send(request_bytes(ask));
    std::string first;
    const bool heard = wire->line(first, now_ms() + 3000);
    const int status = heard && first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    note("bad client with the id of the open request hears " + std::to_string(status));
    ++(status == 0 ? closed : status >= 400 ? errors : served);
    if (status == 200) {
      bad_reader = std::thread([wire, until = now_ms() + 15000] {
        std::string text;
        while (wire->line(text, until)) {
        }
      });
    }
    sleep_ms(20);
  }
  if (new_process) {
    old_process->signal(15);
    const std::optional<int> result = old_process->ended(3700);
    if (!result) old_process->signal(9);
  }
  client.join();
  if (bad_reader.joinable()) bad_reader.join();
  const std::unique_ptr<Program>& last = new_process ? new_process : old_process;
  if (last->ended(0)) return verdict(kBroken, "the conductor has ended");
  last->signal(15);
  (void)last->ended(5000);
  (void)old_process->ended(100);
  discovery.stop();
  for (const auto& instance : instances) instance->stop();
  const bool lost = !reply.served();
  const std::string text = "the ajuste arrived at executing instances " + std::to_string(arrivals) +
                           " times; the bad client heard " + std::to_string(errors) + " errors, " +
                           std::to_string(closed) + " closes, " + std::to_string(served) +
                           " answers; the usual client's stream " + (lost ? "was cut off" : "came whole");
  return verdict(arrivals > 1 || served > 0 || lost ? kBroken : kHeld, text);
}
