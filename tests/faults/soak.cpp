#include "faults/soak.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

#include "faults/stand_in_platform.hpp"

namespace faults {

using Kind = HistoryEvent::Kind;
using integration::Platform;
using integration::Program;
using integration::TestConnection;

namespace {

// Longest deadline in seconds in the settings below. SIGKILL follows SIGTERM after the longest deadline, of
// which at most 3 s count, plus 0.7 s.
constexpr double kLongestDeadline = 3.0;
constexpr double kKillDelay = kLongestDeadline + 0.7;
constexpr double kReadyTimeout = 10.0;  // seconds until a restarted conductor has to listen
constexpr double kMaxPause = 0.15;      // longest pause in seconds of a conductor process
constexpr int kClients = 5;             // per conductor
constexpr int kCrowdClients = 60;       // per conductor, in crowded runs
constexpr int kPartialAnswerPercent = 3;

using Random = std::mt19937;

double draw(Random& random, double minimum, double maximum) {
  return std::uniform_real_distribution<double>(minimum, maximum)(random);
}

int draw_int(Random& random, int minimum, int maximum) {
  return std::uniform_int_distribution<int>(minimum, maximum)(random);
}

bool chance(Random& random, double part) { return draw(random, 0.0, 1.0) < part; }

void sleep_for(double seconds) {
  if (seconds > 0.0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

nlohmann::json soak_settings() {
  nlohmann::json settings = integration::site_settings();
  for (auto& category : settings["categories"]) category["deadlineS"] = kLongestDeadline;
  return settings;
}

// Measures the longest delay of a thread's wake-up on this machine. A shortage of processors delays the
// processes and the test itself by that much, which is not a violation.
class WakeupDelay {
 public:
  WakeupDelay()
      : thread_([this] {
          while (!stopping_) {
            const double due = seconds_now() + kInterval;
            sleep_for(kInterval);
            worst_ = std::max(worst_.load(), seconds_now() - due);
          }
        }) {}
  ~WakeupDelay() {
    stopping_ = true;
    thread_.join();
  }
  WakeupDelay(const WakeupDelay&) = delete;
  WakeupDelay& operator=(const WakeupDelay&) = delete;
  [[nodiscard]] double worst() const { return worst_; }

 private:
  static constexpr double kInterval = 0.002;
  std::atomic<bool> stopping_{false};
  std::atomic<double> worst_{0.0};
  std::thread thread_;
};

// One conductor: its simulated discovery and its process, which can be ended and restarted.
class Conductor {
 public:
  Conductor(const std::vector<Platform::Instance>& listed, const nlohmann::json& settings)
      : platform_(listed, settings) {}

  [[nodiscard]] std::unique_ptr<TestConnection> connect() const { return platform_.connect(); }
  [[nodiscard]] Platform& platform() { return platform_; }

  void send_signal(int number) {
    const std::lock_guard lock(mutex_);
    if (process() != nullptr) process()->send_signal(number);
  }
  // Suspends the process for a moment. The mutex keeps it from being killed meanwhile, since pauses are
  // allowed by the rules.
  void pause(double seconds) {
    const std::lock_guard lock(mutex_);
    if (process() == nullptr) return;
    process()->send_signal(SIGSTOP);
    sleep_for(seconds);
    process()->send_signal(SIGCONT);
  }
  // Waits for the process to end, and kills it at the earliest time that the rules allow after
  // `signalled_at`. Returns a description of a wrong exit status, or an empty string.
  std::string end(double signalled_at) {
    while (seconds_now() < signalled_at + kKillDelay && !has_ended()) sleep_for(0.005);
    const std::lock_guard lock(mutex_);
    Program& program = *process();
    program.send_signal(SIGKILL);
    const int code = program.wait();
    logs_ += program.output();
    std::string problem;
    if (code > 0) problem = "a conductor exited with status " + std::to_string(code);
    ended_ = true;
    return problem;
  }
  // Restarts the process. Returns a description of what failed, or an empty string.
  std::string start() {
    const double begun = seconds_now();
    auto next = platform_.start({});
    const bool ready = Program::listens(platform_.address());
    const std::lock_guard lock(mutex_);
    restarted_ = std::move(next);
    ended_ = false;
    const bool late = seconds_now() - begun > kReadyTimeout;
    return ready && !late ? "" : "a restarted conductor was not ready in time";
  }
  [[nodiscard]] std::string logs() const { return logs_; }

 private:
  bool has_ended() {
    const std::lock_guard lock(mutex_);
    siginfo_t info{};
    const int options = WEXITED | WNOHANG | WNOWAIT;
    return waitid(P_PID, id_t(process()->pid()), &info, options) == 0 && info.si_pid != 0;
  }
  Program* process() {
    if (ended_) return nullptr;
    return restarted_ ? restarted_.get() : &platform_.program();
  }
  std::mutex mutex_;
  Platform platform_;
  std::unique_ptr<Program> restarted_;
  bool ended_ = false;
  std::string logs_;
};

// A client that sends one request at a time on a connection that it keeps until the conductor closes it.
class Client {
 public:
  Client(History& history, Conductor& conductor, std::string name, unsigned seed)
      : history_(history), conductor_(conductor), name_(std::move(name)), random_(seed) {}

  void run(const std::atomic<bool>& stopping) {
    while (!stopping) {
      if (chance(random_, 0.6)) sleep_for(draw(random_, 0.0, 0.15));
      request();
    }
  }
  [[nodiscard]] int sent() const { return sent_; }

 private:
  enum class AnswerState { complete, left, closed_before_answer, closed_within_answer };

  void request() {
    const std::string id = name_ + "-" + std::to_string(sent_);
    const bool safe = chance(random_, 0.7);
    const double wait = draw(random_, 0.8, kLongestDeadline);
    const int prompt = chance(random_, 0.2) ? 100 : draw_int(random_, 1000, 20000);
    std::string text =
        integration::client_request(id, safe ? "consulta" : "ajuste", int(wait * 1000), prompt);
    const std::string close = "Connection: close\r\n";
    text.erase(text.find(close), close.size());
    const bool disconnects = chance(random_, 0.1);
    // A request sent while the conductor closes the idle connection is not read, and is sent again on a new
    // one.
    for (int tries = 0; tries < 2; ++tries) {
      if (wire_ == nullptr) wire_ = conductor_.connect();
      if (wire_ == nullptr) return sleep_for(0.05);
      if (tries == 0) {
        ++sent_;
        history_.add(Kind::client_sent, id, "", safe ? "consulta" : "ajuste", wait);
      }
      wire_->send(text);
      history_.sent_completely(id);
      if (disconnects && wait_and_disconnect(id)) return;
      const AnswerState answer = receive(id);
      if (answer == AnswerState::complete) return;
      wire_.reset();
      if (answer == AnswerState::closed_within_answer) {
        history_.add(Kind::client_unanswered, id, "", kBrokenStream);
        return;
      }
      if (history_.forwarded(id)) {
        history_.add(Kind::client_unanswered, id, "", "closed unanswered after it was forwarded");
        return;
      }
    }
    // Not received by any conductor: a front would try another one.
    history_.add(Kind::client_disconnected, id);
  }

  bool wait_and_disconnect(const std::string& id) {
    sleep_for(draw(random_, 0.01, 0.6));
    wire_.reset();
    history_.add(Kind::client_disconnected, id);
    return true;
  }
  AnswerState receive(const std::string& id) {
    const integration::Message head = wire_->receive_head();
    if (head.first.empty()) return AnswerState::closed_before_answer;
    bool complete = true;
    if (head.headers.contains("transfer-encoding")) {
      const std::string end = "0\r\n\r\n";
      complete = wire_->receive_until(end).ends_with(end);
    } else if (head.headers.contains("content-length")) {
      const std::size_t length = std::stoul(head.headers.at("content-length"));
      complete = length == 0 || wire_->receive_bytes(length).size() == length;
    }
    if (!complete) return AnswerState::closed_within_answer;
    const double answered = seconds_now() - wire_->seconds_since_input();
    history_.add_at(answered, Kind::client_answered, id, "", "", head.status());
    const auto connection = head.headers.find("connection");
    if (connection != head.headers.end() && connection->second == "close") wire_.reset();
    return AnswerState::complete;
  }

  History& history_;
  Conductor& conductor_;
  std::string name_;
  Random random_;
  std::unique_ptr<TestConnection> wire_;
  int sent_ = 0;
};

// Chooses the faults of one run at random and injects them.
class FaultInjector {
 public:
  FaultInjector(const SoakSettings& settings, SimulatedPlatform& servers,
                std::vector<std::unique_ptr<Conductor>>& conductors, SoakResult& result)
      : settings_(settings),
        servers_(servers),
        conductors_(conductors),
        result_(result),
        random_(settings.seed) {}

  // Injects faults until the given time. Restarts of conductors run in parallel with them.
  void run(double until) {
    const int restart_count = draw_int(random_, 1, settings_.conductors);
    for (int i = 0; i < restart_count; ++i) {
      const double at = draw(random_, 0.5, 4.5);
      const unsigned seed = unsigned(random_());
      restarts_.emplace_back([this, i, at, seed] { restart(*conductors_[std::size_t(i)], i, at, seed); });
    }
    sleep_for(draw(random_, 0.6, 1.2));
    while (seconds_now() < until - 1.0) {
      const int kind = draw_int(random_, 0, 11);
      if (kind <= 4) silence();
      if (kind == 5 || kind == 6) reset();
      if (kind == 7) drain();
      if (kind == 8 || kind == 9) pause();
      if (kind == 10) silence_half();
      if (kind == 11) outage();
      sleep_for(draw(random_, 0.1, 0.8));
    }
    for (std::thread& restart : restarts_) restart.join();
  }

 private:
  void log_fault(const std::string& what) {
    std::ostringstream text;
    text << seconds_now() << ' ' << what;
    const std::lock_guard lock(result_mutex_);
    result_.faults.push_back(text.str());
  }
  void report_violation(const std::string& what) {
    if (what.empty()) return;
    const std::lock_guard lock(result_mutex_);
    result_.violations.push_back("process: " + what);
  }

  // Silences the open connections of some servers, and possibly new ones too. Then resets all of them.
  void silence() {
    const bool prefill = chance(random_, 0.3);
    std::vector<SimulatedServer*> chosen = servers_.of_role(prefill);
    const bool everywhere = chance(random_, 0.15);
    if (everywhere) {
      for (SimulatedServer* other : servers_.of_role(!prefill)) chosen.push_back(other);
    } else if (chance(random_, 0.5)) {
      chosen.resize(std::size_t(draw_int(random_, 1, int(chosen.size()))));
    }
    Relay::NewConnections new_connections = Relay::NewConnections(draw_int(random_, 0, 2));
    if (everywhere)
      new_connections = Relay::NewConnections::pass;  // otherwise no release could reach a server
    log_fault("silence " + std::to_string(chosen.size()) + (prefill ? " prefill" : " decode") +
              (everywhere ? " and all other servers" : "") + ", new connections: mode " +
              std::to_string(int(new_connections)));
    for (SimulatedServer* server : chosen) {
      servers_.history().add(Kind::server_silenced, "", server->id());
      server->relay().set_new_connections(new_connections);
      server->relay().silence_open_connections();
    }
    sleep_for(draw(random_, 0.3, 1.6));
    for (SimulatedServer* server : chosen) {
      server->relay().restore();
      servers_.history().add(Kind::server_restored, "", server->id());
    }
    log_fault("healed");
  }
  void reset() {
    SimulatedServer& server = random_server();
    log_fault("reset " + server.id());
    servers_.history().add(Kind::server_reset, "", server.id());
    server.relay().reset_open_connections();
  }
  // Silences half of the connections to each server; new ones work.
  void silence_half() {
    log_fault("silence every second connection");
    for (const auto& server : servers_.servers()) {
      servers_.history().add(Kind::server_silenced, "", server->id());
      server->relay().silence_every_second_connection();
    }
    sleep_for(draw(random_, 0.3, 1.2));
    restore_all();
  }
  // Makes a server reset all open and all new connections.
  void outage() {
    SimulatedServer& server = random_server();
    log_fault("outage of " + server.id());
    servers_.history().add(Kind::server_silenced, "", server.id());
    server.relay().set_new_connections(Relay::NewConnections::reset);
    server.relay().reset_open_connections();
    sleep_for(draw(random_, 0.3, 1.2));
    server.relay().restore();
    servers_.history().add(Kind::server_restored, "", server.id());
  }
  void restore_all() {
    for (const auto& server : servers_.servers()) {
      server->relay().restore();
      servers_.history().add(Kind::server_restored, "", server->id());
    }
    log_fault("healed");
  }
  SimulatedServer& random_server() {
    auto& all = servers_.servers();
    return *all[std::size_t(draw_int(random_, 0, int(all.size()) - 1))];
  }
  void announce(const SimulatedServer& server, const std::string& state) {
    ++version_;
    for (const auto& conductor : conductors_) {
      conductor->platform().push(Platform::line(version_, false, {server.listed()}, state));
    }
  }
  void drain() {
    SimulatedServer& server = random_server();
    log_fault("drain " + server.id());
    announce(server, "DRAINING");
    servers_.history().add(Kind::drain_announced, "", server.id());
    sleep_for(draw(random_, 0.2, 1.5));
    servers_.history().add(Kind::serving_announced, "", server.id());
    announce(server, "SERVING");
  }
  void pause() {
    Conductor& conductor = *conductors_[std::size_t(draw_int(random_, 0, settings_.conductors - 1))];
    const double time = draw(random_, 0.02, kMaxPause);
    log_fault("suspend a conductor for " + std::to_string(time));
    conductor.pause(time);
  }
  // Sends several signals, kills the process as early as the rules allow, and starts a new one.
  void restart(Conductor& conductor, int number, double at, unsigned seed) {
    Random random(seed);
    sleep_for(at);
    if (chance(random, 0.3)) conductor.send_signal(SIGHUP);
    const double signalled_at = seconds_now();
    conductor.send_signal(SIGTERM);
    log_fault("SIGTERM to conductor " + std::to_string(number));
    if (chance(random, 0.5)) {
      sleep_for(draw(random, 0.0, 0.4));
      conductor.send_signal(SIGTERM);
    }
    if (chance(random, 0.3)) conductor.send_signal(SIGHUP);
    report_violation(conductor.end(signalled_at));
    log_fault("conductor " + std::to_string(number) + " has ended");
    sleep_for(draw(random, 0.0, 0.3));
    report_violation(conductor.start());
    const std::lock_guard lock(result_mutex_);
    ++result_.restarts;
  }

  const SoakSettings& settings_;
  SimulatedPlatform& servers_;
  std::vector<std::unique_ptr<Conductor>>& conductors_;
  SoakResult& result_;
  Random random_;
  std::mutex result_mutex_;
  std::vector<std::thread> restarts_;
  int version_ = 1;
};

void count(SoakResult& result) {
  for (const HistoryEvent& event : result.events) {
    result.requests += event.kind == Kind::client_sent;
    result.disconnected += event.kind == Kind::client_disconnected;
    if (event.kind != Kind::client_answered) continue;
    const bool refused = event.number == 429 || event.number == 503;
    ++(event.number == 200 ? result.served : refused ? result.refused : result.failed);
  }
  const std::string marker = "released what was held";
  for (std::size_t at = 0; (at = result.logs.find(marker, at)) != std::string::npos; at += marker.size()) {
    ++result.overdue_releases;
  }
  for (const char* marker_text :
       {"runtime error", "AddressSanitizer", "ended by an exception", "\"topic\":\"guard\""}) {
    if (result.logs.find(marker_text) != std::string::npos) {
      result.violations.push_back(std::string("process: a conductor's log contains: ") + marker_text);
    }
  }
}

}  // namespace

SoakSettings settings_for_seed(unsigned seed) {
  SoakSettings settings;
  settings.seed = seed;
  settings.crowded = seed % 5 == 0;
  return settings;
}

SoakResult run_soak(const SoakSettings& settings) {
  SoakResult result;
  const WakeupDelay wakeup_delay;
  Random random(settings.seed * 7919U + 13U);
  ServiceTimes service_times;
  service_times.prefill_min = draw_int(random, 5, 20);
  service_times.prefill_max = service_times.prefill_min + draw_int(random, 0, 200);
  service_times.first_token_min = draw_int(random, 5, 40);
  service_times.first_token_max = service_times.first_token_min + draw_int(random, 0, 500);
  service_times.events = draw_int(random, 1, 8);
  service_times.between_events = draw_int(random, 2, 30);
  service_times.partial_percent = kPartialAnswerPercent;
  SimulatedPlatform servers(draw_int(random, 2, 4), draw_int(random, 3, 5), service_times, settings.seed);
  std::vector<std::unique_ptr<Conductor>> conductors;
  for (int i = 0; i < settings.conductors; ++i) {
    conductors.push_back(std::make_unique<Conductor>(servers.listed(), soak_settings()));
  }
  std::atomic<bool> stopping{false};
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<std::thread> threads;
  for (int i = 0; i < settings.conductors; ++i) {
    const int client_count = settings.crowded ? kCrowdClients : kClients;
    for (int j = 0; j < client_count; ++j) {
      const std::string name = "r" + std::to_string(i) + "-" + std::to_string(j);
      clients.push_back(
          std::make_unique<Client>(servers.history(), *conductors[std::size_t(i)], name, unsigned(random())));
      threads.emplace_back([&stopping, client = clients.back().get()] { client->run(stopping); });
    }
  }
  FaultInjector(settings, servers, conductors, result).run(seconds_now() + settings.seconds);
  // Ends all conductors at once, while clients send on open connections until the kill.
  const double signalled_at = seconds_now();
  for (const auto& conductor : conductors) conductor->send_signal(SIGTERM);
  for (const auto& conductor : conductors) {
    const std::string problem = conductor->end(signalled_at);
    if (!problem.empty()) result.violations.push_back("process: " + problem);
    result.logs += conductor->logs();
  }
  stopping = true;
  for (std::thread& thread : threads) thread.join();
  sleep_for(0.7);  // longer than the limit, so that anything still held is a violation
  result.events = servers.history().events();
  result.wakeup_delay = wakeup_delay.worst();
  RuleLimits limits;
  limits.delivery_delay += result.wakeup_delay;
  limits.held += result.wakeup_delay;
  for (std::string& violation : find_violations(result.events, limits, seconds_now()))
    result.violations.push_back(violation);
  count(result);
  return result;
}

}  // namespace faults
