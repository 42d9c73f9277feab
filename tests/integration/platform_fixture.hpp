// Test environment for the platform protocol: the program, its discovery service and scripted instances.
#pragma once

#include <nlohmann/json.hpp>

#include "peers.hpp"

namespace integration {

// Settings of a site with prefill and decode instances, in the platform's format.
nlohmann::json site_settings();

class Platform {
 public:
  struct Instance {
    std::string id;
    std::string kind;  // "lectura" (prefill), "escritura" (decode) or "mixto" (both)
    std::string address;
  };
  // `known` is the list in the program's configuration; discovery sends nothing until push() is called.
  explicit Platform(const std::vector<Instance>& known, const nlohmann::json& settings = site_settings(),
                    const std::map<std::string, std::string>& environment = {},
                    const nlohmann::json& limits = {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 512}});

  // A list line as discovery sends it.
  static std::string line(int version, bool full, const std::vector<Instance>& instances,
                          const std::string& state = "SERVING");
  void push(const std::string& line);
  void break_watch();
  // Whether discovery refuses all further calls with 503, as an overloaded service does.
  void refuse_watches(bool refuse);
  // Whether discovery accepts further calls without answering, as an agent that is down does.
  void silence(bool silent);
  // Replaces the configuration file and sends SIGHUP.
  void reload(const std::string& content) const;
  [[nodiscard]] const nlohmann::json& config() const { return config_; }

  [[nodiscard]] std::unique_ptr<TestConnection> connect(int receive_buffer = 0) const {
    return TestConnection::to(listen_, receive_buffer);
  }
  // Sends one request and returns the whole response as received.
  [[nodiscard]] std::string ask(const std::string& request) const;
  [[nodiscard]] const std::string& address() const { return listen_; }

  EventLog watches;  // request lines of the watches opened
  Program& program() { return *program_; }
  // Starts a second process of the program; its variables are those of the first, and `over` adds others.
  [[nodiscard]] std::unique_ptr<Program> start(const std::map<std::string, std::string>& over) const;

 private:
  std::string listen_ = unique_address();
  std::map<std::string, std::string> environment_;
  nlohmann::json config_;
  std::string file_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> lines_;
  int watch_breaks_ = 0;
  bool refuse_ = false, silent_ = false;
  std::size_t first_line_ = 0;  // index of the first line sent to a new watch
  std::unique_ptr<ScriptedServer> discovery_;
  std::unique_ptr<Program> program_;
};

// A client's request in the platform protocol.
std::string client_request(const std::string& txn, const std::string& lane, int remaining_ms = 5000,
                           int prompt = 400, const std::string& more = "",
                           const std::string& body = "{\"a\": 1}");

// Responses of an instance.
std::string event_stream(const std::vector<std::string>& data);  // response head and complete chunked stream
std::string stream_head();
std::string chunk(const std::string& data);
std::string plain_response(const std::string& status, const std::string& body = "",
                           const std::string& headers = "");

}  // namespace integration
