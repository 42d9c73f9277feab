// A client sends several requests at once on one connection. Judged: whether each of them gets an answer.
#include <memory>

#include "../common-2/rig.hpp"

using namespace rig;

int main(int, char** arguments) {
  open_record(arguments[1]);
  constexpr int kRequests = 6;
  World world;
  const Pace reader{20000, 0, 0, 5, 8, 0, 0};
  const Pace writer{7000, 10, 60, 5, 60, 0, 0};
  std::vector<std::unique_ptr<Instance>> instances;
  const char* kinds[] = {"lectura", "escritura", "mixto", "mixto"};
  for (int i = 0; i < 4; ++i) {
    const std::string kind = kinds[i];
    instances.push_back(std::make_unique<Instance>(world, "s-" + std::to_string(i) + "-" + kind, kind,
                                                   kind == "lectura" ? reader : writer, 0, "quito-norte"));
  }
  std::vector<Listed> list;
  for (const auto& instance : instances) list.push_back(instance->listed());
  Discovery discovery(list);
  const std::string listen = free_address();
  const std::string config =
      write_config(temporary_folder(), "n0", listen, discovery.address(), list, small_site_settings(1));
  Program conductor("n0", run_command(), {{"PROXY_CONFIG", config}, {"TMPDIR", temporary_folder()}});
  if (!wait_ready(listen, 10000)) return verdict(kNotRun, "the conductor is not ready");

  std::vector<Ask> asks;
  for (int i = 0; i < kRequests; ++i) {
    Ask ask;
    ask.id = "p" + std::to_string(1000 + i);
    ask.lane = i % 2 == 0 ? "consulta" : "ajuste";
    ask.entity = "e" + std::to_string(i);
    ask.prefix = "shared";
    ask.prefix_tokens = 4800;
    ask.prompt_tokens = 5200;
    ask.remaining_ms = 7500;
    world.client_sends(ask.id);
    asks.push_back(ask);
  }
  Wire wire(Wire::dial(listen));
  int answered = 0, served = 0;
  double last = 0;
  const double begin = now_ms();
  if (trouble()) {
    std::string all;
    for (const Ask& ask : asks) all += request_bytes(ask);
    note("client sends " + std::to_string(kRequests) + " requests at once, " + std::to_string(all.size()) +
         " bytes");
    std::thread writes([&] { note(wire.send(all) ? "all are written" : "not all could be written"); });
    for (const Ask& ask : asks) {
      const Reply reply = read_reply(wire, begin + 30000);
      note("client hears " + std::to_string(reply.status) + (reply.whole ? "" : " (not whole)") + " for " +
           ask.id + (reply.says_close ? ", with Connection: close" : ""));
      if (reply.status == 0) break;
      last = reply.first_ms - begin;
      ++answered;
      served += reply.served();
    }
    writes.join();
  } else {
    for (const Ask& ask : asks) {
      note("client sends " + ask.id);
      wire.send(request_bytes(ask));
      const Reply reply = read_reply(wire, now_ms() + 30000);
      note("client hears " + std::to_string(reply.status) + (reply.whole ? "" : " (not whole)") + " for " +
           ask.id);
      if (reply.status == 0) break;
      ++answered;
      served += reply.served();
    }
  }
  note(std::string("the connection ") + (wire.ended()   ? "was ended by the conductor"
                                         : wire.reset() ? "was reset by the conductor"
                                                        : "is open"));
  conductor.signal(15);
  (void)conductor.ended(5000);
  discovery.stop();
  for (const auto& instance : instances) instance->stop();
  return verdict(answered < kRequests ? kBroken : kHeld,
                 std::to_string(answered) + " of " + std::to_string(kRequests) + " requests answered, " +
                     std::to_string(served) + " served; first event of the last answer after " +
                     std::to_string(int(last)) + " ms");
}
