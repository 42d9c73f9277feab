// Bad clients stop in the middle of their requests and stay, by the hundreds, so that requests of usual
// clients wait unread. Judged: what time their attempts tell the instances, and when their final answers
// come.
#include <cstdlib>
#include <memory>

#include "../common-2/rig.hpp"

using namespace rig;

namespace {

constexpr int kBadClients = 400, kUsual = 8;
constexpr int kRemainingMs = 2000;
constexpr double kToldSlackMs = 150, kLateMs = 550;  // the pages' slack; half a second, and 50 ms on sockets

}  // namespace

int main(int, char** arguments) {
  open_record(arguments[1]);
  World world;
  const Pace reader{20000, 0, 0, 5, 8, 0, 0};
  const Pace writer{7000, 20, 60, 5, 60, 0, 0};
  std::vector<std::unique_ptr<Instance>> instances;
  const char* kinds[] = {"lectura", "lectura", "escritura", "mixto", "mixto"};
  std::mutex mutex;
  std::map<std::string, double> sent;  // by id, when the last byte of the client's request was written
  std::map<std::string, double> told_too_much;
  for (int i = 0; i < 5; ++i) {
    const std::string kind = kinds[i];
    const std::string id = "s-" + std::to_string(i) + "-" + kind;
    instances.push_back(
        std::make_unique<Instance>(world, id, kind, kind == "lectura" ? reader : writer, 0, "quito-norte"));
    instances.back()->on_request = [&, id](const Message& request, double at) {
      const std::lock_guard lock(mutex);
      const std::string txn = request.header("X-Txn");
      const double left = sent[txn] + kRemainingMs - at;
      const double told = std::atof(request.header("X-Remaining-Ms").c_str());
      note(id + " gets " + txn + ", told " + std::to_string(int(told)) + " ms; its client has " +
           std::to_string(int(left)) + " ms left");
      if (told > std::max(left, 0.0) + kToldSlackMs) told_too_much[txn] = told - left;
    };
  }
  std::vector<Listed> list;
  for (const auto& instance : instances) list.push_back(instance->listed());
  Discovery discovery(list);
  const std::string listen = free_address();
  json settings = small_site_settings(1);
  for (json& row : settings["categories"]) row["deadlineS"] = 3.0;
  const std::string config =
      write_config(temporary_folder(), "n0", listen, discovery.address(), list, settings, "", 256);
  Program conductor("n0", run_command(), {{"PROXY_CONFIG", config}, {"TMPDIR", temporary_folder()}});
  if (!wait_ready(listen, 10000)) return verdict(kNotRun, "the conductor is not ready");
  sleep_ms(300);

  std::vector<std::unique_ptr<Wire>> bad;
  if (trouble()) {
    note(std::to_string(kBadClients) + " bad clients connect, send half a request and stay");
    for (int i = 0; i < kBadClients; ++i) {
      bad.push_back(std::make_unique<Wire>(Wire::dial(listen)));
      bad.back()->send("POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Tx");
    }
  }
  std::atomic<int> late{0}, in_time{0}, shut{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kUsual; ++i) {
    clients.emplace_back([&, i] {
      Ask ask;
      ask.id = "u" + std::to_string(1000 + i);
      ask.lane = i % 2 == 0 ? "consulta" : "ajuste";
      ask.entity = "e" + std::to_string(i);
      ask.prefix = "shared";
      ask.prefix_tokens = 2000;
      ask.prompt_tokens = 2400;
      ask.remaining_ms = kRemainingMs;
      world.client_sends(ask.id);
      Wire wire(Wire::dial(listen));
      {
        const std::lock_guard lock(mutex);
        wire.send(request_bytes(ask));
        sent[ask.id] = now_ms();
        note("client sends " + ask.id + " (" + ask.lane + "), and waits " + std::to_string(kRemainingMs) +
             " ms");
      }
      const double begin = now_ms();
      const Reply reply = read_reply(wire, begin + 15000);
      const double first = (reply.pieces.empty() ? reply.end_ms : reply.first_ms) - begin;
      note("client hears " + std::to_string(reply.status) + " for " + ask.id + " after " +
           std::to_string(int(first)) + " ms");
      ++(reply.status == 0 ? shut : first > kRemainingMs + kLateMs ? late : in_time);
    });
  }
  for (std::thread& client : clients) client.join();
  bad.clear();
  if (conductor.ended(0)) return verdict(kBroken, "the conductor has ended");
  conductor.signal(15);
  (void)conductor.ended(5000);
  discovery.stop();
  for (const auto& instance : instances) instance->stop();
  return verdict(late > 0 || !told_too_much.empty() ? kBroken : kHeld,
                 std::to_string(kUsual) + " requests: " + std::to_string(in_time) + " answered in time, " +
                     std::to_string(late) + " more than half a second late, " + std::to_string(shut) +
                     " shut unread; attempts of " + std::to_string(told_too_much.size()) +
                     " told more time than was left");
}
