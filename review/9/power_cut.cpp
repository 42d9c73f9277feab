// The appliance is killed in the middle of an `ajuste` and started again; its client asks once more, with the
// same Idempotency-Key, as the answer's head has told it to. Judged: how often boxes run the adjustment.
#include <fstream>
#include <memory>

#include "../common-2/rig.hpp"

using namespace rig;

namespace {

std::mutex mutex;
std::map<std::string, int> runs;

// A box of the published API. It carries an adjustment out when its request has arrived.
void serve_box(const std::string& name, Wire& wire) {
  while (const std::optional<Message> request = wire.request(now_ms() + 30000)) {
    if (request->method() == "GET") {
      if (!wire.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"))
        return;
      continue;
    }
    const std::string words = json::parse(request->body)["messages"][0]["content"];
    {
      const std::lock_guard lock(mutex);
      note(name + " runs '" + words + "', run " + std::to_string(++runs[words]));
    }
    wire.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto send = [&wire](const json& delta, const json& finish) {
      const json value = {{"id", "chatcmpl-1"},
                          {"object", "chat.completion.chunk"},
                          {"created", 1},
                          {"model", "ajuste"},
                          {"choices", {{{"index", 0}, {"delta", delta}, {"finish_reason", finish}}}}};
      return wire.send(chunk("data: " + value.dump() + "\n\n"));
    };
    bool open = true;
    for (int i = 0; i < 20 && open; ++i) {
      open = send({{"content", "done "}}, nullptr);
      sleep_ms(80);
    }
    if (!open || !send(json::object(), "stop")) return;
    if (!wire.send(chunk("data: [DONE]\n\n") + "0\r\n\r\n")) return;
  }
}

}  // namespace

int main(int, char** arguments) {
  open_record(arguments[1]);
  Server first([](Wire& wire) { serve_box("caja-1", wire); });
  Server second([](Wire& wire) { serve_box("caja-2", wire); });
  const std::string listen = free_address();
  json file = json::parse(std::ifstream(root() + "/deploy/appliance.json"));
  file["listen"] = listen;
  file.erase("operator_listen");
  file.erase("agent_listen");
  file["boxes"][0]["address"] = first.address();
  file["boxes"][1]["address"] = second.address();
  const std::string path = temporary_folder() + "/appliance.json";
  std::ofstream(path) << file.dump();
  const auto start = [&] {
    auto program =
        std::make_unique<Program>("appliance", run_command() + " --appliance " + path,
                                  std::map<std::string, std::string>{{"TMPDIR", temporary_folder()}});
    for (int i = 0; i < 200; ++i, sleep_ms(20)) {
      if (get_status(listen, "/-/healthy") == 200) return program;
    }
    return std::unique_ptr<Program>();
  };
  std::unique_ptr<Program> appliance = start();
  if (!appliance) return verdict(kNotRun, "the appliance is not ready");

  int told = 0, replies = 0;
  for (int i = 0; i < 1; ++i) {
    const std::string words = "block card 17, order " + std::to_string(i);
    const std::string body =
        json{{"model", "ajuste"}, {"stream", true}, {"messages", {{{"role", "user"}, {"content", words}}}}}
            .dump();
    const auto bytes = [&](int retry) {
      return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n"
             "Idempotency-Key: pedido-" +
             std::to_string(i) + "\r\nx-stainless-retry-count: " + std::to_string(retry) +
             "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    auto wire = std::make_unique<Wire>(Wire::dial(listen));
    note("client sends '" + words + "' with Idempotency-Key pedido-" + std::to_string(i));
    wire->send(bytes(0));
    const std::optional<Message> head = wire->head(now_ms() + 10000);
    if (!head || head->status() != 200) return verdict(kNotRun, "the first try is not answered");
    const bool may = head->header("x-should-retry") == "true";
    note("client hears 200, x-should-retry: " + head->header("x-should-retry"));
    told += may;
    sleep_ms(400);
    if (trouble()) {
      appliance->signal(9);
      (void)appliance->ended(5000);
      std::string rest;
      while (wire->line(rest, now_ms() + 1000)) {
      }
      note(std::string("the client's connection ") +
           (wire->reset() || wire->ended() ? "has broken" : "is open"));
      appliance = start();
      if (!appliance) return verdict(kNotRun, "the appliance is not ready again");
      note("the appliance serves again");
    } else {
      wire.reset();
      note("the client's connection breaks, the appliance lives on");
      sleep_ms(300);
    }
    if (!may) continue;  // its client was not told to ask again
    Wire again(Wire::dial(listen));
    again.send(bytes(1));
    const Reply reply = read_reply(again, now_ms() + 15000);
    replies += reply.status != 0;
    note("client asks once more, hears " + std::to_string(reply.status) +
         (reply.whole ? "" : " (not whole)"));
  }
  if (appliance->ended(0)) return verdict(kBroken, "the appliance has ended");
  appliance->signal(15);
  (void)appliance->ended(10000);
  int twice = 0;
  for (const auto& [words, count] : runs) twice += count > 1;
  return verdict(twice > 0 ? kBroken : kHeld, std::to_string(twice) + " of " + std::to_string(runs.size()) +
                                                  " adjustments ran twice; " + std::to_string(told) +
                                                  " clients were told that asking again is harmless, " +
                                                  std::to_string(replies) + " second tries were answered");
}
