// Stand-ins for the cases of the second review: clients, instances and discovery of the platform, and the
// means to start the project's program. All sockets are on loopback; one thread for each connection.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

using nlohmann::json;

// Milliseconds since the start of this program.
double now_ms();
void sleep_ms(double time);
// Whether the disruption of the case takes place (TROUBLE is not 0).
bool trouble();

// ---- record.txt ----

void open_record(const std::string& path);
void note(const std::string& text);
// Exit codes of a case.
constexpr int kHeld = 0, kBroken = 1, kNotRun = 2;
int verdict(int code, const std::string& why);

// ---- HTTP ----

struct Message {
  std::string first;  // the request line or the status line
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  [[nodiscard]] std::string header(std::string_view name) const;
  [[nodiscard]] std::string method() const;
  [[nodiscard]] std::string path() const;
  [[nodiscard]] int status() const;
};

// A connected socket with buffered reading.
class Wire {
 public:
  explicit Wire(int fd) : fd_(fd) {}
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;
  ~Wire() { close(); }
  static int dial(const std::string& address);  // -1: refused
  [[nodiscard]] int fd() const { return fd_; }
  [[nodiscard]] bool open() const { return fd_ >= 0; }
  [[nodiscard]] bool ended() const { return ended_; }  // the peer ended its sending in order
  [[nodiscard]] bool reset() const { return reset_; }  // the connection broke
  bool send(std::string_view bytes);
  // Whether the peer has ended its sending or has gone.
  [[nodiscard]] bool peer_gone() const;
  void close();
  // Reads until `until`; false at the end of the connection or the time.
  bool line(std::string& text, double until);
  bool bytes(std::string& text, std::size_t count, double until);
  // Start line and headers, without the body.
  std::optional<Message> head(double until);
  // A whole request, with a body by Content-Length.
  std::optional<Message> request(double until);

 private:
  bool fill(double until);
  int fd_;
  std::string input_;
  bool ended_ = false, reset_ = false;
};

std::string chunk(std::string_view text);
std::string free_address();
int listening_socket(const std::string& address);

class Server {
 public:
  explicit Server(std::function<void(Wire&)> serve);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  [[nodiscard]] const std::string& address() const { return address_; }
  void stop();

 private:
  std::function<void(Wire&)> serve_;
  int listener_ = -1;
  std::string address_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread accept_;
};

// ---- Clients ----

struct Ask {
  std::string id, lane = "consulta", entity, prefix;
  int remaining_ms = 7500, prompt_tokens = 1000, prefix_tokens = 0, max_out = 100;
  int body_bytes = 0;  // 0: four for each prompt token
};
std::string request_bytes(const Ask& ask);

struct Reply {
  int status = 0;                                      // 0: the connection ended without an answer
  bool whole = false, says_close = false;              // says_close: Connection: close
  std::string body;                                    // decoded
  std::vector<std::pair<double, std::string>> pieces;  // decoded, with their time
  double first_ms = 0, end_ms = 0;
  [[nodiscard]] bool served() const { return status == 200 && whole; }
};
Reply read_reply(Wire& wire, double until, const std::function<void(std::string_view)>& on_piece = {});

// ---- Instances of the platform ----

struct Listed {
  std::string id, address, kind;
  int cell = 0;
  std::string zone = "quito-norte", state = "SERVING";
  std::int64_t started_ms = 0;
};

// What all instances of a case share: which ids clients have sent, what is held, which attempts are out.
class World {
 public:
  void client_sends(const std::string& id);
  bool known(const std::string& id);
  // Called once the last byte of a request has arrived; returns the attempts of the same id that are still
  // out on an open connection at that moment.
  struct Attempt {
    int number = 0;
    std::string id, instance;
    int fd = -1;
    bool executes = false;
  };
  std::vector<Attempt> arrived(Attempt attempt, int& number);
  void over(int number);
  void hold(const std::string& id, const std::string& instance);
  bool take(const std::string& id);
  void release(const std::string& id);
  int executions(const std::string& id);

  std::function<void(const Attempt& attempt, const std::vector<Attempt>& others)> on_second_copy;

 private:
  std::mutex mutex_;
  std::set<std::string> known_;
  std::map<int, Attempt> out_;
  std::map<std::string, std::string> held_;
  std::map<std::string, int> executions_;
  int numbers_ = 0;
};

struct Pace {
  double read_tokens_per_s = 20000, token_ms = 20;
  int tokens = 60, tokens_per_event = 5;
  int slots = 48;
  // A reader's answer is followed by a second one this much later, for one of so many requests; 0: never.
  double second_answer_ms = 0;
  int second_answer_of = 0;
};

class Instance {
 public:
  Instance(World& world, std::string id, std::string kind, Pace pace, int cell, std::string zone);
  [[nodiscard]] Listed listed() const;
  [[nodiscard]] int requests() const { return requests_; }
  [[nodiscard]] int seconds() const { return seconds_; }
  void stop() { server_.stop(); }
  // Called for each request whose last byte has arrived.
  std::function<void(const Message& request, double at)> on_request;

 private:
  void serve(Wire& wire);
  bool run(Wire& wire, const Message& request);
  bool read(Wire& wire, const std::string& id, int prompt);
  bool write(Wire& wire, const std::string& id, int prompt);
  bool pause(Wire& wire, double time);

  World& world_;
  std::string id_, kind_, zone_;
  Pace pace_;
  int cell_;
  std::atomic<int> active_{0}, requests_{0}, seconds_{0};
  Server server_;
};

// ---- Discovery ----

class Discovery {
 public:
  explicit Discovery(const std::vector<Listed>& list);
  [[nodiscard]] const std::string& address() const { return server_.address(); }
  static json message(int version, bool full, const std::vector<Listed>& list);
  void stop();

 private:
  std::vector<Listed> list_;
  std::atomic<bool> stopping_{false};
  Server server_;
};

// ---- The project's program ----

std::string root();                        // of the checkout
std::string temporary_folder();            // made anew, removed at the end of this program
std::string run_command();                 // `run` of the deploy file
json small_site_settings(int conductors);  // as in the example of the pages

class Program {
 public:
  Program(std::string name, const std::string& command, const std::map<std::string, std::string>& environment,
          int passed_socket = -1);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;
  void signal(int number) const;
  [[nodiscard]] int pid() const { return pid_; }
  // The exit code, or minus the signal; empty if it still runs.
  std::optional<int> ended(double wait_ms);

 private:
  std::string name_;
  int pid_ = -1;
  std::optional<int> result_;
};

// Writes a configuration file of a conductor and returns its path.
std::string write_config(const std::string& folder, const std::string& name, const std::string& listen,
                         const std::string& discovery, const std::vector<Listed>& known, const json& settings,
                         const std::string& mgmt = "", int sockets = 1024, int memory_mb = 192);
// GET of a page; the status, or 0.
int get_status(const std::string& address, const std::string& path);
bool wait_ready(const std::string& address, double time_ms);

}  // namespace rig
