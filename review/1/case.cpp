// A request that no box ran gets, on its marked retry, the recorded answer of an earlier request.
#include "../common/case.hpp"

using namespace stand_in;

namespace {

// One execution of a request at a box.
struct Execution {
  std::string request_id;
  double time_s;
};

// The boxes' common state: executions in order, and whether their queues are full.
struct Boxes {
  std::mutex mutex;
  std::vector<Execution> executions;
  std::atomic<bool> full{false};
};

void serve_box(const Case& test, Boxes& boxes, const std::string& name, Connection& wire) {
  while (const auto request = wire.message(kForever)) {
    if (request->first.rfind("POST", 0) != 0) {
      wire.send(
          response("200 OK", "{\"object\":\"list\",\"data\":[]}", "Content-Type: application/json\r\n"));
      continue;
    }
    const std::string id = request->header("x-request-id");
    if (boxes.full) {
      test.say(name + ": " + id + " turned away, queue full (not run)");
      wire.send(response("503 Service Unavailable", "", "X-Turned-Away: 1\r\n"));
      continue;
    }
    sleep_for(0.05);
    std::size_t number = 0;
    {
      const std::lock_guard lock(boxes.mutex);
      boxes.executions.push_back({id, now_s()});
      number = boxes.executions.size();
    }
    test.say(name + ": " + id + " run, as execution " + std::to_string(number));
    wire.send(
        response("200 OK",
                 "{\"id\":\"chatcmpl-" + std::to_string(number) +
                     "\",\"object\":\"chat.completion\",\"created\":0,\"model\":\"ajuste\",\"choices\":["
                     "{\"index\":0,\"message\":{\"role\":\"assistant\",\"content\":\"Adjustment " +
                     std::to_string(number) +
                     " is made.\"},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":12,"
                     "\"completion_tokens\":5,\"total_tokens\":17}}",
                 "Content-Type: application/json\r\n"));
  }
}

// A call as the published client libraries send it: `retry` counts their own retries of one call.
Message call(const Case& test, int port, const std::string& name, int retry) {
  const std::string body =
      R"({"model":"ajuste","messages":[{"role":"user","content":"Raise the limit of card 17 by 50."}]})";
  test.say("client: " + name + ", try " + std::to_string(retry) + " sent: " + body);
  const auto wire = Connection::to(port);
  if (wire == nullptr) test.end(kCouldNotRun, "no connection to the appliance");
  wire->send(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: caja\r\nContent-Type: application/json\r\n"
      "x-stainless-retry-count: " +
      std::to_string(retry) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  const auto answer = wire->message(now_s() + 20);
  if (!answer || !answer->complete) test.end(kCouldNotRun, name + " got no whole answer");
  test.say("client: " + name + ", try " + std::to_string(retry) + " answered: " + answer->first +
           ", x-request-id " + answer->header("x-request-id") + ", x-should-retry " +
           answer->header("x-should-retry") + ", Retry-After " + answer->header("retry-after") +
           ", Idempotent-Replayed " + answer->header("idempotent-replayed") + ", body " + answer->body);
  return *answer;
}

std::size_t executions(Boxes& boxes) {
  const std::lock_guard lock(boxes.mutex);
  return boxes.executions.size();
}

}  // namespace

int main(int argc, char** argv) {
  const Case test(argc, argv);
  Boxes boxes;
  Server box_1([&](Connection& wire) { serve_box(test, boxes, "caja-1", wire); });
  Server box_2([&](Connection& wire) { serve_box(test, boxes, "caja-2", wire); });
  const int port = free_port();
  const std::string file = test.temporary + "/appliance.json";
  std::ofstream(file) << R"({"name":"caja-quito","listen":")" << address_of(port) << R"(","classes":[
 {"name":"consulta","repeat":"safe","first_token_s":1.5,"deadline_s":7.5,"token_s":0.06,
  "worth":3,"late_worth":0.3},
 {"name":"ajuste","repeat":"never","first_token_s":2.5,"deadline_s":12,"token_s":0.08,
  "worth":2,"late_worth":0.1}],
 "models":[{"name":"consulta","class":"consulta"},{"name":"ajuste","class":"ajuste"}],
 "boxes":[{"id":"caja-1","address":")"
                      << address_of(box_1.port()) << R"("},{"id":"caja-2","address":")"
                      << address_of(box_2.port()) << "\"}]}";
  test.say("started: " + std::string(kRun) + " --appliance");
  Process program(test.root, std::string(kRun) + " --appliance " + file, {}, test.temporary + "/program.log");
  if (!wait_for_status(port, "/-/healthy", 200, 10)) test.end(kCouldNotRun, "the appliance did not start");
  sleep_for(1);

  // An adjustment, made and answered.
  if (call(test, port, "first adjustment", 0).status() != 200 || executions(boxes) != 1)
    test.end(kCouldNotRun, "the first adjustment was not run once and served");
  sleep_for(2);

  // Later a second one with the same words: a further adjustment, no repeat of the first. The boxes are full.
  boxes.full = test.trouble;
  Message answer = call(test, port, "second adjustment", 0);
  if (answer.status() == 503 || answer.status() == 429) {
    // One retry, after the wait that the appliance advised. The boxes have room again.
    const double wait_s = std::max(std::atof(answer.header("retry-after").c_str()), 0.5);
    boxes.full = false;
    sleep_for(wait_s + 0.1);
    answer = call(test, port, "second adjustment", 1);
  }
  const std::size_t run = executions(boxes);
  test.say("executions at the boxes: " + std::to_string(run));
  if (answer.status() != 200) test.end(kHeld, "the second adjustment was not said to be served");
  if (run >= 2 && answer.body.find("Adjustment 2 ") != std::string::npos)
    test.end(kHeld, "the second adjustment was run and got its own answer");
  test.end(kBroken,
           "the second adjustment was answered 200 with the first one's answer; no box ran it (executions: " +
               std::to_string(run) + ")");
}
