#include "platform_fixture.hpp"

#include <csignal>
#include <cstdio>
#include <fstream>

namespace integration {

using nlohmann::json;

json site_settings() {
  return json::parse(R"({
    "azs": ["quito-norte", "quito-sur"], "skus": ["lectura", "escritura", "mixto"],
    "categories": [
      {"name": "consulta", "effect": "idempotent", "group": "all", "targetS": 1.5, "deadlineS": 7.5,
       "worth": 3.0, "lateWorth": 0.3, "stream": true},
      {"name": "ajuste", "effect": "at_most_once", "group": "all", "targetS": 2.5, "deadlineS": 12.0,
       "worth": 2.0, "lateWorth": 0.1, "stream": true}],
    "familyInfo": {"ahead": true, "aimUsPer1000PromptTokens": [40000.0, 40000.0],
      "dutyByKind": ["read", "write", "both"], "releaseWithinS": 0.3, "tokenAimS": [0.06, 0.08],
      "tokensByKind": [240118, 161613, 183938], "writersRead": true},
    "nInstances": 2, "zone": 0,
    "policyLimits": {"cancel": true, "connIdleS": 15.0, "connectTimeoutS": 0.25, "maxAttempts": 4,
      "maxRetryAfterS": 2.0, "mayProbe": true, "retryAfter": true},
    "registryMode": "pushed", "report": {"fields": ["concurrent"], "how": "pull"},
    "rules": {"coldFrom": 0.28, "coldS": 11.0, "drainGraceS": 1.0, "fallS": 2.0, "overloadFactor": 2.5},
    "weights": "rough"})");
}

std::string Platform::line(int version, bool full, const std::vector<Instance>& instances,
                           const std::string& state) {
  json servers = json::array();
  for (const Instance& i : instances) {
    servers.push_back({{"id", i.id},
                       {"addr", i.address},
                       {"zone", "quito-norte"},
                       {"kind", i.kind},
                       {"cell", 0},
                       {"state", state},
                       {"weight", 1.0},
                       {"started_ms", 0}});
  }
  return json{{"version", version}, {"full", full}, {"servers", servers}}.dump();
}

Platform::Platform(const std::vector<Instance>& known, const json& settings,
                   const std::map<std::string, std::string>& environment, const json& limits)
    : environment_(environment) {
  discovery_ = std::make_unique<ScriptedServer>([this](TestConnection& wire) {
    const auto request = wire.receive();
    if (!request) return;
    watches.add(request->first);
    std::unique_lock lock(mutex_);
    if (refuse_) {
      wire.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
      return;
    }
    if (silent_) {
      lock.unlock();
      (void)wire.closed_within(10000);  // until the caller gives up
      return;
    }
    const int breaks = watch_breaks_;
    wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (std::size_t next = first_line_;;) {
      for (; next < lines_.size(); ++next) wire.send(chunk(lines_[next] + "\n"));
      if (changed_.wait_for(lock, std::chrono::milliseconds(50),
                            [&] { return watch_breaks_ != breaks || next < lines_.size(); })) {
        if (watch_breaks_ != breaks) return;
      } else if (wire.closed_within(0)) {
        return;
      }
    }
  });
  const json config = {{"name", "n1"},
                       {"listen", listen_},
                       {"discovery", discovery_->address()},
                       {"seed", "8c1f30d27a5be964"},
                       {"limits", limits},
                       {"known", json::parse(line(1, true, known))},
                       {"settings", settings}};
  config_ = config;
  file_ = temporary_file(config.dump());
  environment_["PROXY_CONFIG"] = file_;
  environment_["PROXY_DISCOVERY"] = discovery_->address();
  if (const auto listen = environment_.find("PROXY_LISTEN"); listen != environment_.end()) {
    listen_ = listen->second;
  }
  program_ = start({});
  program_->expect_listening(listen_);
}

std::unique_ptr<Program> Platform::start(const std::map<std::string, std::string>& over) const {
  std::map<std::string, std::string> all = over;
  all.insert(environment_.begin(), environment_.end());
  return std::make_unique<Program>(std::vector<std::string>{"serve"}, all);
}

void Platform::push(const std::string& line) {
  const std::lock_guard lock(mutex_);
  lines_.push_back(line);
  changed_.notify_all();
}

void Platform::break_watch() {
  const std::lock_guard lock(mutex_);
  ++watch_breaks_;
  first_line_ = lines_.size();
  changed_.notify_all();
}

void Platform::refuse_watches(bool refuse) {
  const std::lock_guard lock(mutex_);
  refuse_ = refuse;
}

void Platform::silence(bool silent) {
  const std::lock_guard lock(mutex_);
  silent_ = silent;
}

void Platform::reload(const std::string& content) const {
  std::ofstream(file_) << content;
  program_->send_signal(SIGHUP);
}

std::string Platform::ask(const std::string& request) const {
  const auto wire = connect();
  wire->send(request);
  return wire->receive_all();
}

std::string client_request(const std::string& txn, const std::string& lane, int remaining_ms, int prompt,
                           const std::string& more, const std::string& body) {
  return "POST /v1/chat/completions?v=2 HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + txn +
         "\r\nX-Lane: " + lane + "\r\nX-Entity: s-" + txn +
         "\r\nX-Remaining-Ms: " + std::to_string(remaining_ms) +
         "\r\nX-Labels: prefix=p1,prompt_len=" + std::to_string(prompt) + ",prefix_len=100,max_out=50\r\n" +
         more + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string stream_head() {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(const std::string& data) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n";
}

std::string event_stream(const std::vector<std::string>& data) {
  std::string text = stream_head();
  for (const std::string& event : data) text += chunk("data: " + event + "\n\n");
  return text + "0\r\n\r\n";
}

std::string plain_response(const std::string& status, const std::string& body, const std::string& headers) {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace integration
