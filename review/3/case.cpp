// Boxes die within streams of a model whose answers go on at another box: is the text that arrives the whole
// one?
#include "../common/case.hpp"

using namespace stand_in;

namespace {

// The true answer of a consulta, which names a reason for each of the last refusals of a card. Temperature 0.
const std::string kAnswer =
    "Reasons of the last four refusals, newest first:\n"
    "- the daily limit of the card was reached\n"
    "- the daily limit of the card was reached\n"
    "- the daily limit of the card was reached\n"
    "- the card was blocked by its fleet manager\n";
constexpr std::size_t kEventBytes = 14;  // three or four tokens
constexpr double kEventInterval = 0.02;  // seconds

std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text) out += c == '\n' ? std::string("\\n") : std::string(1, c);
  return out;
}

// The JSON string that begins at `at`, decoded. The texts of this case escape nothing but line ends.
std::string decoded(const std::string& json, std::size_t at) {
  std::string out;
  for (; at < json.size() && json[at] != '"'; ++at) {
    if (json[at] == '\\' && ++at < json.size()) {
      out += json[at] == 'n' ? '\n' : json[at];
    } else {
      out += json[at];
    }
  }
  return out;
}

// What the boxes do with the next answer: its box dies after so many events; 0: it does not die.
std::atomic<int> next_death{0};
std::atomic<int> continuations{0};

std::string event(const std::string& delta, const std::string& finish) {
  return "data: "
         "{\"id\":\"chatcmpl-1\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"consulta\","
         "\"choices\":[{\"index\":0,\"delta\":" +
         delta + ",\"finish_reason\":" + finish + "}]}\n\n";
}

void serve_box(const Case& test, const std::string& name, Connection& wire) {
  while (const auto request = wire.message(kForever)) {
    if (request->first.rfind("POST", 0) != 0) {
      wire.send(
          response("200 OK", "{\"object\":\"list\",\"data\":[]}", "Content-Type: application/json\r\n"));
      continue;
    }
    // A begun answer as last message is gone on with from exactly its end.
    std::string begun;
    if (request->body.find("\"continue_final_message\":true") != std::string::npos) {
      const std::string key = "\"content\":\"";
      begun = decoded(request->body, request->body.rfind(key) + key.size());
      ++continuations;
    }
    if (kAnswer.compare(0, begun.size(), begun) != 0)
      test.end(kCouldNotRun, "a begun answer that no box wrote");
    const int death = begun.empty() ? next_death.exchange(0) : 0;
    test.say(name + ": " +
             (begun.empty() ? "answers" : "goes on after " + std::to_string(begun.size()) + " bytes"));
    wire.send(kStreamHead);
    wire.send(chunk(event("{\"role\":\"assistant\",\"content\":\"\"}", "null")));
    int events = 0;
    for (std::size_t at = begun.size(); at < kAnswer.size(); at += kEventBytes) {
      if (death > 0 && events++ == death) {
        test.say(name + ": dies after " + std::to_string(death) + " events, " + std::to_string(at) +
                 " bytes");
        wire.reset_on_close();
        return;
      }
      wire.send(chunk(event("{\"content\":\"" + escaped(kAnswer.substr(at, kEventBytes)) + "\"}", "null")));
      sleep_for(kEventInterval);
    }
    wire.send(chunk(event("{}", "\"stop\"")) + chunk("data: [DONE]\n\n") + "0\r\n\r\n");
  }
}

// What a client got of one stream.
struct Answer {
  std::string text;
  bool whole = false;  // a finish reason, [DONE] and the last chunk, and no error event
};

Answer ask(const Case& test, int port) {
  const std::string body = R"({"model":"consulta","stream":true,"temperature":0,"messages":[{"role":"user",)"
                           R"("content":"List the reasons of the last four refusals of card 17."}]})";
  const auto wire = Connection::to(port);
  if (wire == nullptr) test.end(kCouldNotRun, "no connection to the appliance");
  wire->send(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: caja\r\nContent-Type: "
      "application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
  const auto message = wire->message(now_s() + 20);
  Answer answer;
  if (!message) return answer;
  const std::string key = "\"content\":\"";
  for (std::size_t at = 0; (at = message->body.find(key, at)) != std::string::npos; at += key.size())
    answer.text += decoded(message->body, at + key.size());
  answer.whole = message->status() == 200 && message->complete &&
                 message->body.find("data: [DONE]") != std::string::npos &&
                 message->body.find("\"finish_reason\":\"stop\"") != std::string::npos &&
                 message->body.find("\"error\"") == std::string::npos;
  return answer;
}

}  // namespace

int main(int argc, char** argv) {
  const Case test(argc, argv);
  Server box_1([&](Connection& wire) { serve_box(test, "caja-1", wire); });
  Server box_2([&](Connection& wire) { serve_box(test, "caja-2", wire); });
  Server box_3([&](Connection& wire) { serve_box(test, "caja-3", wire); });
  const int port = free_port();
  const std::string file = test.temporary + "/appliance.json";
  std::ofstream(file) << R"({"name":"caja-quito","listen":")" << address_of(port) << R"(","classes":[
 {"name":"consulta","repeat":"safe","first_token_s":1.5,"deadline_s":7.5,"token_s":0.06,
  "worth":3,"late_worth":0.3}],
 "models":[{"name":"consulta","class":"consulta","continuation":"final_message"}],
 "boxes":[{"id":"caja-1","address":")"
                      << address_of(box_1.port()) << R"("},{"id":"caja-2","address":")"
                      << address_of(box_2.port()) << R"("},{"id":"caja-3","address":")"
                      << address_of(box_3.port()) << "\"}]}";
  test.say("started: " + std::string(kRun) + " --appliance, model consulta with continuation final_message");
  Process program(test.root, std::string(kRun) + " --appliance " + file, {}, test.temporary + "/program.log");
  if (!wait_for_status(port, "/-/healthy", 200, 10)) test.end(kCouldNotRun, "the appliance did not start");
  sleep_for(0.5);

  const int events = int((kAnswer.size() + kEventBytes - 1) / kEventBytes);
  int whole = 0, broken_off = 0, wrong = 0;
  for (int death = 1; death < events; ++death) {
    for (int i = 0; i < 2; ++i) {  // fresh requests, from which the budget of further attempts is filled
      if (!ask(test, port).whole) test.end(kCouldNotRun, "an answer without a death did not come whole");
    }
    next_death = test.trouble ? death : 0;
    const Answer answer = ask(test, port);
    test.say("client: " + std::string(answer.whole ? "a whole answer" : "said to be broken") + ", " +
             std::to_string(answer.text.size()) + " of " + std::to_string(kAnswer.size()) + " bytes");
    whole += answer.whole && answer.text == kAnswer;
    broken_off += !answer.whole;
    if (!answer.whole || answer.text == kAnswer) continue;
    ++wrong;
    test.say("WRONG: after a death at event " + std::to_string(death) +
             " the client has, as a whole answer: " + escaped(answer.text));
  }
  test.say("the true answer: " + escaped(kAnswer));
  const std::string counts = "streams " + std::to_string(events - 1) + ", continued " +
                             std::to_string(continuations) + ", whole " + std::to_string(whole) +
                             ", said to be broken " + std::to_string(broken_off) +
                             ", wrong text as a whole answer " + std::to_string(wrong);
  if (test.trouble && continuations == 0) test.end(kCouldNotRun, "no stream was continued: " + counts);
  test.end(wrong > 0 ? kBroken : kHeld, counts);
}
