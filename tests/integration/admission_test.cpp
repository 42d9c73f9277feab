// Admission control of the whole program over sockets: API keys, rate limits, repeats and operator commands.
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>

#include "appliance_fixture.hpp"

using namespace integration;
using nlohmann::json;
using namespace std::chrono_literals;

namespace {

const std::string kEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"ok\"}}]}\n\n";
const std::string kWhole = R"({"choices":[],"usage":{"prompt_tokens":40,"completion_tokens":2}})";

std::string stream_text() { return stream_head() + chunk(kEvent) + chunk("data: [DONE]\n\n") + "0\r\n\r\n"; }
std::string json_answer(const char* status, const std::string& body) {
  return plain_response(status, body, "Content-Type: application/json\r\n");
}
ScriptedServer::Script answering(EventLog& seen) {
  return instance_script(seen, [](TestConnection& wire, const Message& m) {
    wire.send(json::parse(m.body).value("stream", false) ? stream_text() : json_answer("200 OK", kWhole));
    return true;
  });
}

struct CommandResult {
  int code = 0;
  std::string output;
};
CommandResult run_bankmux(const std::vector<std::string>& arguments) {
  Program program(arguments, {});
  const int code = program.wait();
  return {code, program.output()};
}

// A key file, created with the operator commands.
class KeyFile {
 public:
  KeyFile() : path_(temporary_file("")) { ::unlink(path_.c_str()); }
  std::string add(const std::string& tenant, std::vector<std::string> more = {}) {
    std::vector<std::string> arguments = {"key", "add", "--keys", path_, "--tenant", tenant};
    arguments.insert(arguments.end(), more.begin(), more.end());
    const CommandResult ran = run_bankmux(arguments);
    const std::size_t at = ran.output.find("bmx-");
    REQUIRE(at != std::string::npos);
    return ran.output.substr(at, ran.output.find('\n', at) - at);
  }
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

std::string id_of(const std::string& key) { return key.substr(4, 12); }

struct RequestHeaders {
  std::string key, idempotency = {}, retry = {};
};
std::string request(const std::string& body, const RequestHeaders& headers_given) {
  std::string headers;
  if (!headers_given.key.empty()) headers += "Authorization: Bearer " + headers_given.key + "\r\n";
  if (!headers_given.idempotency.empty()) headers += "Idempotency-Key: " + headers_given.idempotency + "\r\n";
  if (!headers_given.retry.empty()) headers += "x-stainless-retry-count: " + headers_given.retry + "\r\n";
  std::string text = Appliance::request(body);
  return text.insert(text.find("Host:"), headers);
}
std::string send_request(const Appliance& appliance, const std::string& body,
                         const RequestHeaders& headers_given) {
  return Appliance::exchange(appliance.chat_address(), request(body, headers_given));
}

const std::string kAjuste = Appliance::body("m-ajuste", false), kStream = Appliance::body("m-ajuste", true);

}  // namespace

TEST_CASE("Admission: keys are created, accepted, withheld from instances, limited to models, and revoked") {
  EventLog seen;
  std::atomic<bool> key_seen{false};
  ScriptedServer one(instance_script(seen, [&](TestConnection& wire, const Message& m) {
    if (m.headers.contains("authorization")) key_seen = true;
    wire.send(json_answer("200 OK", kWhole));
    return true;
  }));
  KeyFile keys;
  const std::string norte = keys.add("norte", {"--model", "m-consulta"}), sur = keys.add("sur");
  struct stat status {};
  REQUIRE(::stat(keys.path().c_str(), &status) == 0);
  CHECK((status.st_mode & 0777) == 0600);
  Appliance appliance({one.address()}, {{"keys", keys.path()}});
  for (const std::string& wrong : {std::string(), std::string("bmx-000000000000-") + std::string(64, '0'),
                                   sur.substr(0, sur.size() - 1) + (sur.back() == '0' ? "1" : "0")}) {
    const std::string answer = send_request(appliance, kAjuste, {wrong});
    CHECK(answer.starts_with("HTTP/1.1 401 Unauthorized"));
    CHECK(json_body(answer)["error"]["code"] == "invalid_api_key");
    CHECK(contains(answer, "x-should-retry: false"));
  }
  CHECK(send_request(appliance, kAjuste, {norte}).starts_with("HTTP/1.1 403"));
  CHECK(send_request(appliance, kAjuste, {sur}).starts_with("HTTP/1.1 200"));
  CHECK(seen.count(kChat) == 1);
  CHECK_FALSE(key_seen);
  // Health checks need no key, but /v1/models does, and lists only the models that the key may use.
  CHECK(appliance.get("/v1/models").starts_with("HTTP/1.1 401"));
  const std::string models = Appliance::exchange(appliance.chat_address(),
                                                 "GET /v1/models HTTP/1.1\r\nConnection: close\r\n"
                                                 "Authorization: bearer " +
                                                     norte + "\r\n\r\n");
  CHECK(json_body(models)["data"].size() == 1);

  const CommandResult list = run_bankmux({"key", "list", "--keys", keys.path(), "--json"});
  CHECK(json::parse(list.output).size() == 2);
  CHECK_FALSE(contains(list.output, "hash"));
  CHECK(run_bankmux({"key", "revoke", "000000000000", "--keys", keys.path()}).code == 1);
  CHECK(run_bankmux({"key", "revoke", id_of(sur), "--keys", keys.path()}).code == 0);
  appliance.program().send_signal(SIGHUP);
  bool gone = false;
  for (int i = 0; i < 100 && !gone; ++i) {
    gone = send_request(appliance, kAjuste, {sur}).starts_with("HTTP/1.1 401");
    std::this_thread::sleep_for(10ms);
  }
  CHECK(gone);
  appliance.program().terminate();
  CHECK(appliance.program().wait() == 0);
  for (const std::string& key : {norte, sur})
    CHECK_FALSE(contains(appliance.program().output(), key.substr(17)));
}

TEST_CASE(
    "Admission: a key over its limits gets 429 with Retry-After, and unexecuted requests cost nothing") {
  EventLog seen;
  std::atomic<bool> full{true};
  ScriptedServer one(instance_script(seen, [&](TestConnection& wire, const Message&) {
    wire.send(full ? plain_response("429 Too Many Requests", "") : json_answer("200 OK", kWhole));
    return true;
  }));
  KeyFile keys;
  const std::string norte =
      keys.add("norte", {"--requests-per-minute", "2", "--tokens-per-minute", "100000"});
  const std::string sur = keys.add("sur");
  Appliance appliance({one.address()}, {{"keys", keys.path()}});
  // Every instance is full, so the charge is refunded.
  CHECK(send_request(appliance, kAjuste, {norte}).starts_with("HTTP/1.1 503"));
  full = false;
  const std::string first = send_request(appliance, kAjuste, {norte});
  CHECK(first.starts_with("HTTP/1.1 200"));
  CHECK(contains(first, "x-ratelimit-limit-requests: 2\r\nx-ratelimit-remaining-requests: 1\r\n"));
  CHECK(contains(first, "x-ratelimit-reset-requests: "));
  CHECK(contains(first, "x-ratelimit-limit-tokens: 100000"));
  CHECK(send_request(appliance, kAjuste, {norte}).starts_with("HTTP/1.1 200"));
  const std::string over = send_request(appliance, kAjuste, {norte});
  CHECK(over.starts_with("HTTP/1.1 429"));
  CHECK(json_body(over)["error"]["code"] == "rate_limit_exceeded");
  CHECK(contains(over, "x-should-retry: true"));
  CHECK(contains(over, "Retry-After: "));
  CHECK(send_request(appliance, kAjuste, {sur}).starts_with("HTTP/1.1 200"));

  const CommandResult shown = run_bankmux({"tenants", "--connect", appliance.page_address(), "--json"});
  REQUIRE(shown.code == 0);
  const json tenants = json::parse(shown.output)["tenants"];
  CHECK(tenants[0]["tenant"] == "norte");
  CHECK(tenants[0]["limited"] == 1);
  CHECK(tenants[0]["tokens"] == 84);  // usage reported by the instance, twice
  CHECK(tenants[0]["keys"][0]["requests_per_minute"]["left"] == 0);
  CHECK(contains(run_bankmux({"tenants", "--connect", appliance.page_address()}).output, "0 of 2"));
  CHECK(contains(run_bankmux({"console", "--connect", appliance.page_address(), "--once"}).output, "norte"));
}

TEST_CASE(
    "Admission: the same idempotency key on 50 connections at once gives one attempt, and repeats then get "
    "its answer") {
  EventLog seen;
  std::atomic<bool> hold{true};
  ScriptedServer one(instance_script(seen, [&](TestConnection& wire, const Message& m) {
    while (hold) std::this_thread::sleep_for(5ms);
    wire.send(json::parse(m.body).value("stream", false) ? stream_text() : json_answer("200 OK", kWhole));
    return true;
  }));
  Appliance appliance({one.address()});
  for (const std::string& body : {kAjuste, kStream}) {
    const std::string key = body == kStream ? "stream" : "whole";
    hold = true;
    std::atomic<int> served{0}, held_off{0}, other{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < 50; ++i) {
      clients.emplace_back([&] {
        const std::string answer = send_request(appliance, body, {"", key});
        (answer.starts_with("HTTP/1.1 200")   ? served
         : answer.starts_with("HTTP/1.1 409") ? held_off
                                              : other)++;
        if (served + held_off + other >= 49) hold = false;
      });
    }
    for (std::thread& client : clients) client.join();
    CHECK(served == 1);
    CHECK(held_off == 49);
    const std::string again = send_request(appliance, body, {"", key});
    CHECK(again.starts_with("HTTP/1.1 200"));
    CHECK(contains(again, "Idempotent-Replayed: true"));
    CHECK(contains(again, body == kStream ? kEvent : kWhole));
    CHECK(contains(again, body == kStream ? "\r\n0\r\n" : "Content-Length"));
  }
  CHECK(seen.count(kChat) == 2);
  CHECK(send_request(appliance, kStream, {"", "whole"}).starts_with("HTTP/1.1 422"));
  CHECK(send_request(appliance, kStream, {"", "no good"}).starts_with("HTTP/1.1 400"));
  // The ledger survives a reload of the settings.
  appliance.reload(appliance.file());
  std::this_thread::sleep_for(100ms);
  CHECK(contains(send_request(appliance, kAjuste, {"", "whole"}), "Idempotent-Replayed: true"));
  CHECK(seen.count(kChat) == 2);
}

TEST_CASE(
    "Admission: an ajuste whose client disconnects is not run again, and a repeat gets outcome_unknown") {
  EventLog seen;
  ScriptedServer one(instance_script(seen, [&](TestConnection& wire, const Message&) {
    wire.send(stream_head() + chunk(kEvent));
    seen.add(wire.closed_within(5000) ? "attempt ended" : "attempt goes on");
    return false;
  }));
  KeyFile keys;
  const std::string norte = keys.add("norte", {"--open", "1", "--tokens-per-minute", "1000000"});
  Appliance appliance({one.address()}, {{"keys", keys.path()}});
  {
    const auto wire = appliance.connect();
    wire->send(request(kStream, {norte, "pedido-1"}));
    wire->receive_until(kEvent);
  }
  REQUIRE(seen.wait_for("attempt ended"));
  const std::string again = send_request(appliance, kStream, {norte, "pedido-1"});
  CHECK(again.starts_with("HTTP/1.1 502"));
  CHECK(json_body(again)["error"]["code"] == "outcome_unknown");
  CHECK(contains(again, "x-should-retry: false"));
  CHECK(seen.count(kChat) == 1);
  // The reservation is settled and no request is open.
  const json tenants =
      json::parse(run_bankmux({"tenants", "--connect", appliance.page_address(), "--json"}).output);
  CHECK(tenants["tenants"][0]["open"] == 0);
  CHECK(tenants["tenants"][0]["keys"][0]["open"]["left"] == 1);
  const CommandResult shown =
      run_bankmux({"ledger", "show", "pedido-1", "--connect", appliance.page_address()});
  CHECK(shown.code == 0);
  CHECK(contains(shown.output, "outcome_unknown"));
  CHECK(run_bankmux({"ledger", "show", "other", "--connect", appliance.page_address()}).code == 1);
}

TEST_CASE(
    "Admission: a repeat runs a request that is proved not to have run, and never one that may have run") {
  EventLog seen;
  std::atomic<int> step{0};
  ScriptedServer one(instance_script(seen, [&](TestConnection& wire, const Message&) {
    switch (step) {
      case 0:
        wire.send(plain_response("429 Too Many Requests", ""));
        return true;
      case 1:
        wire.send(json_answer("200 OK", kWhole));
        return true;
      default:
        wire.reset();  // after reading the whole request
        return false;
    }
  }));
  Appliance appliance({one.address()});
  CHECK(send_request(appliance, kAjuste, {"", "a"}).starts_with("HTTP/1.1 503"));
  step = 1;
  const std::string served = send_request(appliance, kAjuste, {"", "a"});
  CHECK(served.starts_with("HTTP/1.1 200"));
  CHECK(contains(served, "x-should-retry: false"));  // its ledger entry does not survive this process
  step = 2;
  seen.clear();
  CHECK(contains(send_request(appliance, kAjuste, {"", "b"}), "outcome_unknown"));
  step = 1;
  CHECK(contains(send_request(appliance, kAjuste, {"", "b"}), "outcome_unknown"));
  CHECK(seen.count(kChat) == 1);
  // Without a key, the retry count header of the SDKs distinguishes a retry from a first try.
  step = 2;
  CHECK(contains(send_request(appliance, kAjuste, {"", "", "0"}), "outcome_unknown"));
  step = 1;
  CHECK(contains(send_request(appliance, kAjuste, {"", "", "1"}), "outcome_unknown"));
  CHECK(seen.count(kChat) == 2);
  CHECK(send_request(appliance, kAjuste, {"", "", "0"}).starts_with("HTTP/1.1 200"));
}

// Guards against an `ajuste` that runs again after a power cut because its client was told to retry.
TEST_CASE("Admission: after a SIGKILL at any step of an ajuste, its marked retry does not run") {
  enum class Step { received, streaming, answered };
  EventLog seen;
  std::atomic<Step> last_step{Step::received};
  ScriptedServer one(instance_script(seen, [&](TestConnection& wire, const Message& m) {
    if (last_step == Step::received) return !wire.closed_within(5000);
    const bool streamed = json::parse(m.body).value("stream", false);
    if (last_step == Step::answered) {
      wire.send(streamed ? stream_text() : json_answer("200 OK", kWhole));
      return true;
    }
    wire.send(stream_head() + chunk(kEvent));
    return !wire.closed_within(5000);
  }));
  Appliance appliance({one.address()});
  for (const Step step : {Step::received, Step::streaming, Step::answered}) {
    for (const std::string& key : {std::string("pedido-" + std::to_string(int(step))), std::string()}) {
      INFO("step " << int(step) << ", key '" << key << "'");
      last_step = step;
      seen.clear();
      const auto client = appliance.connect();
      client->send(request(kStream, {"", key, "0"}));
      REQUIRE(seen.wait_for(kChat));
      if (step != Step::received) {
        const std::string begun = client->receive_until(step == Step::streaming ? kEvent : "0\r\n\r\n");
        CHECK(contains(begun, "x-should-retry: false"));
      }
      appliance.kill_and_restart();
      last_step = Step::answered;
      const std::string retry = send_request(appliance, kStream, {"", key, "1"});
      CHECK(retry.starts_with("HTTP/1.1 502"));
      CHECK(json_body(retry)["error"]["code"] == "outcome_unknown");
      CHECK(contains(retry, "x-should-retry: false"));
      CHECK(seen.count(kChat) == 1);
      CHECK(send_request(appliance, kAjuste, {"", "new-" + key, "0"}).starts_with("HTTP/1.1 200"));
    }
  }
}

// Guards against an `ajuste` that no instance ran and whose client gets an earlier one's answer as its own.
TEST_CASE("Admission: the marked retry of a refused request never gets the answer of an identical one") {
  EventLog seen;
  std::atomic<bool> full{false};
  ScriptedServer one(instance_script(seen, [&](TestConnection& wire, const Message& m) {
    if (full) {
      wire.send(plain_response("503 Service Unavailable", "", "X-Turned-Away: 1\r\n"));
    } else {
      wire.send(json::parse(m.body).value("stream", false) ? stream_text() : json_answer("200 OK", kWhole));
    }
    return true;
  }));
  Appliance appliance({one.address()});
  for (const std::string& body : {kAjuste, kStream}) {
    full = true;
    const std::string refused_alone = send_request(appliance, body, {"", "", "0"});
    CHECK(refused_alone.starts_with("HTTP/1.1 503"));
    CHECK(contains(refused_alone, "x-should-retry: true"));
    full = false;
    CHECK(send_request(appliance, body, {"", "", "1"}).starts_with("HTTP/1.1 200"));  // nothing had run
    full = true;
    const std::string refused = send_request(appliance, body, {"", "", "0"});
    CHECK(refused.starts_with("HTTP/1.1 503"));
    full = false;
    seen.clear();
    const std::string retry = send_request(appliance, body, {"", "", "1"});
    CHECK(retry.starts_with("HTTP/1.1 502"));
    CHECK(json_body(retry)["error"]["code"] == "outcome_unknown");
    CHECK(contains(retry, "x-should-retry: false"));
    CHECK(seen.count(kChat) == 0);
    // A new request is run, and gets its own answer.
    CHECK(send_request(appliance, body, {"", "", "0"}).starts_with("HTTP/1.1 200"));
    CHECK(seen.count(kChat) == 1);
  }
}

TEST_CASE(
    "Admission: a stream whose key is revoked is completed, and the next request with the key is rejected") {
  EventLog seen;
  std::atomic<bool> hold{true};
  ScriptedServer one(instance_script(seen, [&](TestConnection& wire, const Message&) {
    wire.send(stream_head() + chunk(kEvent));
    while (hold) std::this_thread::sleep_for(5ms);
    wire.send(chunk("data: [DONE]\n\n") + "0\r\n\r\n");
    return true;
  }));
  KeyFile keys;
  const std::string norte = keys.add("norte"), sur = keys.add("sur");
  Appliance appliance({one.address()}, {{"keys", keys.path()}});
  const auto wire = appliance.connect();
  wire->send(request(kStream, {norte, "k"}));
  CHECK(contains(wire->receive_until(kEvent), "200 OK"));
  CHECK(run_bankmux({"key", "revoke", id_of(norte), "--keys", keys.path()}).code == 0);
  appliance.program().send_signal(SIGHUP);
  std::this_thread::sleep_for(200ms);
  CHECK(send_request(appliance, kStream, {norte, "k"}).starts_with("HTTP/1.1 401"));
  hold = false;
  CHECK(contains(wire->receive_all(), "[DONE]"));
}

TEST_CASE("Admission: one tenant's flood of open requests leaves room for another tenant") {
  EventLog seen;
  std::atomic<bool> hold{true};
  ScriptedServer one(instance_script(seen, [&](TestConnection& wire, const Message&) {
    while (hold) std::this_thread::sleep_for(5ms);
    wire.send(json_answer("200 OK", kWhole));
    return true;
  }));
  KeyFile keys;
  const std::string norte = keys.add("norte"), sur = keys.add("sur");
  // This setting gives a table of 27 requests.
  Appliance appliance(
      {one.address()},
      {{"keys", keys.path()},
       {"sockets", 120},
       {"classes",
        {{{"name", "consulta"}, {"repeat", "safe"}},
         {{"name", "ajuste"}, {"repeat", "never"}, {"first_token_s", 25}, {"deadline_s", 30}}}}});
  std::vector<std::unique_ptr<TestConnection>> flood;
  for (int i = 0; i < 24; ++i) {
    flood.push_back(appliance.connect());
    flood.back()->send(request(kAjuste, {norte, "k" + std::to_string(i)}));
  }
  const auto tenant = [&appliance](std::size_t place) {
    return json::parse(
        run_bankmux({"tenants", "--connect", appliance.page_address(), "--json"}).output)["tenants"][place];
  };
  for (int i = 0; i < 200 && tenant(0)["over_share"] == 0; ++i) std::this_thread::sleep_for(10ms);
  CHECK(tenant(0)["over_share"] > 0);
  CHECK(tenant(0)["open"] == 21);  // three quarters of the table
  const auto other = appliance.connect();
  other->send(request(kAjuste, {sur, "mine"}));
  for (int i = 0; i < 200 && tenant(1)["admitted"] == 0; ++i) std::this_thread::sleep_for(10ms);
  hold = false;
  const std::string answer = other->receive_all();
  INFO(answer);
  CHECK(answer.starts_with("HTTP/1.1 200"));
}

TEST_CASE("Admission: an invalid key file is rejected, and a reload keeps the old keys") {
  EventLog seen;
  ScriptedServer one(answering(seen));
  KeyFile keys;
  const std::string norte = keys.add("norte");
  const CommandResult bad =
      run_bankmux({"key", "add", "--keys", keys.path(), "--tenant", std::string(65, 'x')});
  CHECK(bad.code == 2);
  CHECK(contains(bad.output, "tenant"));
  Appliance appliance({one.address()}, {{"keys", keys.path()}});
  ::chmod(keys.path().c_str(), 0644);
  appliance.program().send_signal(SIGHUP);
  std::this_thread::sleep_for(200ms);
  CHECK(send_request(appliance, kAjuste, {norte}).starts_with("HTTP/1.1 200"));  // the old keys stay valid
  const CommandResult refused = run_bankmux({"key", "list", "--keys", keys.path()});
  CHECK(refused.code == 2);
  CHECK(contains(refused.output, "chmod 600"));
}

TEST_CASE("Admission: a refused retry does not refund an earlier attempt that may have run") {
  EventLog seen;
  std::atomic<int> step{0};
  const auto script = instance_script(seen, [&](TestConnection& wire, const Message&) {
    wire.send(step++ == 0 ? plain_response("500 Internal Server Error", "{}")
                          : plain_response("429 Too Many Requests", ""));
    return true;
  });
  ScriptedServer one(script), two(script);
  KeyFile keys;
  const std::string norte = keys.add("norte", {"--tokens-per-minute", "1000000"});
  Appliance appliance({one.address(), two.address()}, {{"keys", keys.path()}});
  CHECK_FALSE(
      send_request(appliance, Appliance::body("m-consulta", false), {norte}).starts_with("HTTP/1.1 200"));
  CHECK(seen.count(kChat) > 1);
  const json tenants =
      json::parse(run_bankmux({"tenants", "--connect", appliance.page_address(), "--json"}).output);
  CHECK(tenants["tenants"][0]["tokens"] > 0);
}
