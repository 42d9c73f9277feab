// Runs the program as an appliance in front of scripted instances, for process-level tests of the chat front.
#pragma once

#include <csignal>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <thread>

#include "peers.hpp"
#include "platform_fixture.hpp"

namespace integration {

inline bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

inline nlohmann::json json_body(const std::string& answer) {
  return nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
}

// Number of HTTP/1.1 status lines in `text`.
inline int count_responses(const std::string& text) {
  int count = 0;
  for (std::size_t at = 0; (at = text.find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++count;
  return count;
}

// Script of a fake model-server instance, based on the public description of the API. Answers health checks,
// records the first line of every other request and passes the request to `chat`, which returns whether to
// keep the connection.
inline ScriptedServer::Script instance_script(
    EventLog& seen, const std::function<bool(TestConnection&, const Message&)>& chat) {
  return [&seen, chat](TestConnection& wire) {
    while (const auto request = wire.receive()) {
      if (request->first.starts_with("GET /v1/models")) {
        wire.send(plain_response("200 OK", "{\"object\":\"list\",\"data\":[]}"));
        continue;
      }
      seen.add(request->first);
      if (!chat(wire, *request)) return;
    }
  };
}

// First line of a chat completion request.
inline const std::string kChat = "POST /v1/chat/completions HTTP/1.1";

// A running appliance process with its configuration file and its three listening addresses.
class Appliance {
 public:
  // `changes`: JSON merge patch applied to the default file below.
  explicit Appliance(const std::vector<std::string>& boxes,
                     const nlohmann::json& changes = nlohmann::json::object()) {
    nlohmann::json file = {
        {"name", "caja"},
        {"listen", chat_},
        {"operator_listen", page_},
        {"agent_listen", agent_},
        {"check_every_s", 0.1},
        {"max_attempts", 3},
        {"classes",
         {{{"name", "consulta"}, {"repeat", "safe"}, {"deadline_s", 3}},
          {{"name", "ajuste"}, {"repeat", "never"}, {"deadline_s", 3}}}},
        {"models",
         {{{"name", "m-consulta"}, {"class", "consulta"}}, {{"name", "m-ajuste"}, {"class", "ajuste"}}}}};
    for (std::size_t i = 0; i < boxes.size(); ++i) {
      file["boxes"].push_back({{"id", "b" + std::to_string(i + 1)}, {"address", boxes[i]}});
    }
    file.merge_patch(changes);
    file_ = file;
    path_ = temporary_file(file.dump());
    start();
  }
  void kill_and_restart() {
    program_->send_signal(SIGKILL);
    (void)program_->wait();
    start();
  }
  // Replaces the file and sends SIGHUP.
  void reload(const nlohmann::json& file) const {
    std::ofstream(path_) << file.dump();
    program_->send_signal(SIGHUP);
  }
  [[nodiscard]] const nlohmann::json& file() const { return file_; }
  [[nodiscard]] std::unique_ptr<TestConnection> connect() const { return TestConnection::to(chat_); }
  [[nodiscard]] static std::string request(const std::string& body) {
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: caja\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  [[nodiscard]] static std::string body(const std::string& model, bool stream) {
    return nlohmann::json{{"model", model},
                          {"stream", stream},
                          {"messages", {{{"role", "user"}, {"content", "Why was my card refused?"}}}}}
        .dump();
  }
  // Sends a chat completion request and returns the whole answer.
  [[nodiscard]] std::string chat(const std::string& body) const { return exchange(chat_, request(body)); }
  // Sends `text` and returns everything received until the connection closes.
  [[nodiscard]] static std::string exchange(const std::string& address, const std::string& text) {
    const auto wire = TestConnection::to(address);
    wire->send(text);
    return wire->receive_all();
  }
  [[nodiscard]] std::string get(const std::string& path) const {
    return exchange(chat_, "GET " + path + " HTTP/1.1\r\nConnection: close\r\n\r\n");
  }
  // Sends a request to the operator page.
  [[nodiscard]] std::string page(const std::string& method, const std::string& path) const {
    return exchange(page_,
                    method + " " + path + " HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  }
  [[nodiscard]] std::string agent() const { return TestConnection::to(agent_)->receive_all(); }
  // Whether the agent-check reports `line` within 5 s.
  [[nodiscard]] bool agent_reports(const std::string& line) const {
    for (int i = 0; i < 250; ++i) {
      if (agent() == line) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }
  [[nodiscard]] const std::string& page_address() const { return page_; }
  [[nodiscard]] const std::string& chat_address() const { return chat_; }
  Program& program() { return *program_; }

 private:
  void start() {
    program_ = std::make_unique<Program>(std::vector<std::string>{"serve", "--appliance", path_},
                                         std::map<std::string, std::string>{});
    program_->expect_listening(chat_);
  }

  std::string chat_ = unique_address(), page_ = unique_address(), agent_ = unique_address();
  nlohmann::json file_;
  std::string path_;
  std::unique_ptr<Program> program_;
};

}  // namespace integration
