// A box dies in the middle of a streamed answer, whose text it sends as `refusal` or as `content`. Judged:
// whether the text that the client gets is the answer's, without a repetition.
#include <sys/socket.h>

#include <fstream>
#include <memory>

#include "../common-2/rig.hpp"

using namespace rig;

namespace {

const std::vector<std::string> kWords = {"I am sorry, ",  "but card 17 ", "was blocked ", "by its owner, ",
                                         "and I cannot ", "change that ", "from here; ",  "please call us."};

// A box that gives the same answer to the same messages, as one of the published API does.
class Box {
 public:
  Box() : server_([this](Wire& wire) { serve(wire); }) {}
  [[nodiscard]] const std::string& address() const { return server_.address(); }
  std::string name;
  static inline std::atomic<int> to_kill{0};  // the stream that is begun next dies after so many words

 private:
  void serve(Wire& wire) {
    while (const std::optional<Message> request = wire.request(now_ms() + 30000)) {
      if (request->method() == "GET") {
        if (!wire.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"))
          return;
      } else if (!answer(wire, *request)) {
        return;
      }
    }
  }
  bool answer(Wire& wire, const Message& request) {
    const json body = json::parse(request.body);
    const std::string field = body["messages"][0]["content"] == "refuse" ? "refusal" : "content";
    std::string text;
    for (const std::string& word : kWords) text += word;
    // A last message of the assistant is continued, where the request says so.
    const json& last = body["messages"].back();
    const bool continues = body.value("continue_final_message", false) && last["role"] == "assistant";
    const std::string begun = continues ? last["content"].get<std::string>() : "";
    note(name + " gets " + field + " request " + request.header("X-Request-Id") +
         (continues ? ", to go on from '" + begun + "'" : ", from the start"));
    const int dies_after = to_kill.exchange(0);
    wire.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    const auto send = [&wire](const json& delta, const json& finish) {
      const json value = {{"id", "chatcmpl-1"},
                          {"object", "chat.completion.chunk"},
                          {"created", 1},
                          {"model", "consulta"},
                          {"choices", {{{"index", 0}, {"delta", delta}, {"finish_reason", finish}}}}};
      return wire.send(chunk("data: " + value.dump() + "\n\n"));
    };
    send({{"role", "assistant"}, {"content", field == "content" ? json("") : json()}}, nullptr);
    std::string sent;
    int words = 0;
    for (const std::string& word : kWords) {
      sent += word;
      if (sent.size() <= begun.size()) continue;
      sleep_ms(60);
      if (!send({{field, word}}, nullptr)) return false;
      if (++words == dies_after) {
        note(name + " dies");
        const linger reset{1, 0};
        setsockopt(wire.fd(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        return false;
      }
    }
    send(json::object(), "stop");
    return wire.send(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
  }

  Server server_;
};

}  // namespace

int main(int, char** arguments) {
  open_record(arguments[1]);
  Box boxes[2];
  boxes[0].name = "caja-1";
  boxes[1].name = "caja-2";
  const std::string listen = free_address();
  json file = json::parse(std::ifstream(root() + "/deploy/appliance.json"));
  file["listen"] = listen;
  file.erase("operator_listen");
  file.erase("agent_listen");
  for (int i = 0; i < 2; ++i) file["boxes"][std::size_t(i)]["address"] = boxes[i].address();
  file["models"][0]["continuation"] = "final_message";
  const std::string path = temporary_folder() + "/appliance.json";
  std::ofstream(path) << file.dump();
  Program appliance("appliance", run_command() + " --appliance " + path, {{"TMPDIR", temporary_folder()}});
  bool ready = false;
  for (int i = 0; i < 200 && !ready; ++i, sleep_ms(20)) ready = get_status(listen, "/-/healthy") == 200;
  if (!ready) return verdict(kNotRun, "the appliance is not ready");

  std::string whole_text;
  for (const std::string& word : kWords) whole_text += word;
  int repeated = 0, asked = 0;
  for (const char* what : {"answer", "refuse"}) {
    for (int i = 0; i < 3; ++i, ++asked) {
      if (trouble()) Box::to_kill = 4;
      const std::string body =
          json{{"model", "consulta"}, {"stream", true}, {"messages", {{{"role", "user"}, {"content", what}}}}}
              .dump();
      Wire wire(Wire::dial(listen));
      const std::string id = std::string(what) + "-" + std::to_string(i);
      note("client sends " + id);
      wire.send("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id +
                "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
                "\r\n\r\n" + body);
      const Reply reply = read_reply(wire, now_ms() + 15000);
      std::string text;
      for (std::size_t at = 0; (at = reply.body.find("data: {", at)) != std::string::npos;) {
        const std::size_t end = reply.body.find("\n\n", at);
        const json event = json::parse(reply.body.substr(at + 6, end - at - 6), nullptr, false);
        at = end;
        if (!event.is_object() || !event.contains("choices")) continue;
        for (const json& choice : event["choices"]) {
          for (const char* field : {"content", "refusal"}) {
            const json delta = choice.value("delta", json::object());
            if (delta.contains(field) && delta[field].is_string()) text += delta[field].get<std::string>();
          }
        }
      }
      note("client hears " + std::to_string(reply.status) + (reply.whole ? ", whole: '" : ", broken off: '") +
           text + "'");
      // A stream that breaks off is allowed here; what came before has to be the answer's beginning.
      const bool sound = reply.whole ? text == whole_text : whole_text.starts_with(text);
      repeated += !sound;
    }
  }
  appliance.signal(15);
  const std::optional<int> result = appliance.ended(10000);
  if (!result || *result != 0) appliance.signal(9);
  return verdict(repeated > 0 ? kBroken : kHeld, std::to_string(repeated) + " of " + std::to_string(asked) +
                                                     " streams reached the client with other text than the "
                                                     "answer's");
}
