// A small platform for stories: one program, its discovery, and instances that follow scripts.
#pragma once

#include <nlohmann/json.hpp>

#include "peers.hpp"

namespace stories {

// The settings of a site with readers and writers, as the platform gives them.
nlohmann::json site_settings();

class Platform {
 public:
  struct Instance {
    std::string id;
    std::string kind;  // "lectura", "escritura" or "mixto"
    std::string address;
  };
  // `known` is what the program starts with; discovery says nothing until told to.
  explicit Platform(const std::vector<Instance>& known, const nlohmann::json& settings = site_settings(),
                    const std::map<std::string, std::string>& environment = {});

  // A list line for discovery to push.
  static std::string line(int version, bool full, const std::vector<Instance>& instances,
                          const std::string& state = "SERVING");
  void push(const std::string& line);
  void break_watch();
  // From now on discovery answers every call with 503, as one that is overbooked does; or no longer.
  void refuse_watches(bool refuse);
  // From now on discovery takes calls and says nothing, as an agent that is down; or answers new ones again.
  void silence(bool silent);
  // Replaces the configuration and sends SIGHUP.
  void reload(const std::string& content) const;
  [[nodiscard]] const nlohmann::json& config() const { return config_; }

  [[nodiscard]] std::unique_ptr<Wire> connect(int receive_buffer = 0) const {
    return Wire::to(listen_, receive_buffer);
  }
  // Sends one request and gives the whole answer as it came.
  [[nodiscard]] std::string ask(const std::string& request) const;
  [[nodiscard]] const std::string& address() const { return listen_; }

  Record watches;  // the targets of the watches opened
  Program& program() { return *program_; }
  // Starts the program once more beside the one that runs, with these variables over those of the first.
  [[nodiscard]] std::unique_ptr<Program> start(const std::map<std::string, std::string>& over) const;

 private:
  std::string listen_ = own_address();
  std::map<std::string, std::string> environment_;
  nlohmann::json config_;
  std::string file_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> lines_;
  int breaks_ = 0;
  bool refuse_ = false, silent_ = false;
  std::size_t first_ = 0;  // line that a new watch begins with
  std::unique_ptr<Peer> discovery_;
  std::unique_ptr<Program> program_;
};

// A client's request as PROTOCOL words it.
std::string client_request(const std::string& txn, const std::string& lane, int remaining_ms = 5000,
                           int prompt = 400, const std::string& more = "",
                           const std::string& body = "{\"a\": 1}");

// An instance's answers.
std::string events(const std::vector<std::string>& data);  // head and whole chunked stream
std::string stream_head();
std::string chunk(const std::string& data);
std::string simple(const std::string& status, const std::string& body = "", const std::string& headers = "");

}  // namespace stories
