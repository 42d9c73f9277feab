#include "rig.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace rig {

namespace {

const auto kStart = std::chrono::steady_clock::now();

bool same(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) { return tolower(x) == tolower(y); });
}

sockaddr_in to_address(const std::string& address) {
  sockaddr_in ip{};
  const std::size_t colon = address.find(':');
  ip.sin_family = AF_INET;
  ip.sin_port = htons(std::uint16_t(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &ip.sin_addr);
  return ip;
}

std::string text_of(const sockaddr_in& ip) { return "127.0.0.1:" + std::to_string(ntohs(ip.sin_port)); }

int bound_socket(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in ip = to_address(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&ip), sizeof ip) != 0) {
    std::perror("bind");
    std::exit(kNotRun);
  }
  return fd;
}

std::string address_of(int fd) {
  sockaddr_in ip{};
  socklen_t size = sizeof ip;
  getsockname(fd, reinterpret_cast<sockaddr*>(&ip), &size);
  return text_of(ip);
}

std::mutex record_mutex;
std::FILE* record_file = nullptr;

}  // namespace

double now_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - kStart).count();
}

void sleep_ms(double time) {
  if (time > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(time));
}

bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

// ---- record.txt ----

void open_record(const std::string& path) {
  signal(SIGPIPE, SIG_IGN);
  record_file = std::fopen(path.c_str(), "w");
  if (record_file == nullptr) std::exit(kNotRun);
  note(std::string("disruption: ") + (trouble() ? "yes" : "no"));
}

void note(const std::string& text) {
  const std::lock_guard lock(record_mutex);
  if (record_file == nullptr) return;
  std::fprintf(record_file, "%10.1f ms  %s\n", now_ms(), text.c_str());
  std::fflush(record_file);
}

int verdict(int code, const std::string& why) {
  const char* what = code == kHeld ? "rule held" : code == kBroken ? "rule broken" : "could not run";
  note(std::string(what) + ": " + why);
  std::printf("%s: %s\n", what, why.c_str());
  return code;
}

// ---- HTTP ----

std::string Message::header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (same(key, name)) return value;
  }
  return "";
}
std::string Message::method() const { return first.substr(0, first.find(' ')); }
std::string Message::path() const {
  const std::size_t begin = first.find(' ') + 1;
  return first.substr(begin, first.find(' ', begin) - begin);
}
int Message::status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }

int Wire::dial(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in ip = to_address(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&ip), sizeof ip) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool Wire::send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(std::size_t(sent));
  }
  return true;
}

bool Wire::peer_gone() const {
  pollfd peer{fd_, POLLRDHUP, 0};
  return fd_ < 0 || (poll(&peer, 1, 0) > 0 && (peer.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
}

void Wire::close() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

bool Wire::fill(double until) {
  if (ended_ || reset_ || fd_ < 0) return false;
  const double left = until - now_ms();
  pollfd readable{fd_, POLLIN, 0};
  if (left <= 0 || poll(&readable, 1, std::max(1, int(left))) <= 0) return false;
  char part[16384];
  const ssize_t got = recv(fd_, part, sizeof part, 0);
  if (got == 0) ended_ = true;
  if (got < 0) reset_ = true;
  if (got <= 0) return false;
  input_.append(part, std::size_t(got));
  return true;
}

bool Wire::line(std::string& text, double until) {
  std::size_t end = 0;
  while ((end = input_.find('\n')) == std::string::npos) {
    if (!fill(until)) return false;
  }
  text = input_.substr(0, end);
  input_.erase(0, end + 1);
  if (!text.empty() && text.back() == '\r') text.pop_back();
  return true;
}

bool Wire::bytes(std::string& text, std::size_t count, double until) {
  while (input_.size() < count) {
    if (!fill(until)) return false;
  }
  text = input_.substr(0, count);
  input_.erase(0, count);
  return true;
}

std::optional<Message> Wire::head(double until) {
  Message message;
  if (!line(message.first, until)) return std::nullopt;
  std::string text;
  while (line(text, until)) {
    if (text.empty()) return message;
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos) return std::nullopt;
    std::size_t value = colon + 1;
    while (value < text.size() && text[value] == ' ') ++value;
    message.headers.emplace_back(text.substr(0, colon), text.substr(value));
  }
  return std::nullopt;
}

std::optional<Message> Wire::request(double until) {
  std::optional<Message> message = head(until);
  if (!message) return std::nullopt;
  const std::string length = message->header("Content-Length");
  const std::size_t size = length.empty() ? 0 : std::size_t(std::stoul(length));
  if (!bytes(message->body, size, until)) return std::nullopt;
  return message;
}

std::string chunk(std::string_view text) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + std::string(text) + "\r\n";
}

std::string free_address() {
  const int fd = bound_socket("127.0.0.1:0");
  const std::string address = address_of(fd);
  ::close(fd);
  return address;
}

int listening_socket(const std::string& address) {
  const int fd = bound_socket(address);
  listen(fd, 512);
  return fd;
}

Server::Server(std::function<void(Wire&)> serve) : serve_(std::move(serve)) {
  listener_ = bound_socket("127.0.0.1:0");
  address_ = address_of(listener_);
  listen(listener_, 512);
  accept_ = std::thread([this] {
    while (!stopping_) {
      pollfd readable{listener_, POLLIN, 0};
      if (poll(&readable, 1, 20) <= 0) continue;
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const std::lock_guard lock(mutex_);
      open_.insert(fd);
      threads_.emplace_back([this, fd] {
        Wire wire(fd);
        serve_(wire);
        const std::lock_guard inner(mutex_);
        open_.erase(fd);
        wire.close();
      });
    }
  });
}

void Server::stop() {
  if (stopping_.exchange(true)) return;
  accept_.join();
  ::close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) shutdown(fd, SHUT_RDWR);
  }
  for (std::thread& thread : threads_) thread.join();
}

Server::~Server() { stop(); }

// ---- Clients ----

std::string request_bytes(const Ask& ask) {
  std::string body = R"({"model":")" + ask.lane + R"(","stream":true,"max_tokens":)" +
                     std::to_string(ask.max_out) + R"(,"messages":[{"role":"user","content":")";
  const std::size_t size = std::size_t(ask.body_bytes > 0 ? ask.body_bytes : ask.prompt_tokens * 4);
  body += std::string(size, 'a') + R"("}]})";
  std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + ask.id +
                     "\r\nX-Lane: " + ask.lane + "\r\nX-Entity: " + ask.entity +
                     "\r\nX-Remaining-Ms: " + std::to_string(ask.remaining_ms) + "\r\nX-Labels: ";
  if (!ask.prefix.empty()) head += "prefix=" + ask.prefix + ",";
  head += "prompt_len=" + std::to_string(ask.prompt_tokens) +
          ",prefix_len=" + std::to_string(ask.prefix_tokens) + ",max_out=" + std::to_string(ask.max_out);
  return head + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Reply read_reply(Wire& wire, double until, const std::function<void(std::string_view)>& on_piece) {
  Reply reply;
  const std::optional<Message> head = wire.head(until);
  reply.end_ms = now_ms();
  if (!head) return reply;
  reply.status = head->status();
  reply.says_close = same(head->header("Connection"), "close");
  const auto piece = [&](const std::string& text) {
    if (reply.pieces.empty()) reply.first_ms = now_ms();
    reply.pieces.emplace_back(now_ms(), text);
    reply.body += text;
    if (on_piece) on_piece(text);
  };
  if (same(head->header("Transfer-Encoding"), "chunked")) {
    std::string text;
    while (wire.line(text, until)) {
      const std::size_t size = std::stoul("0" + text, nullptr, 16);
      if (!wire.bytes(text, size, until)) break;
      const bool last = size == 0;
      if (!last) piece(text);
      if (!wire.line(text, until)) break;
      if (last) {
        reply.whole = true;
        break;
      }
    }
  } else {
    std::string text;
    const std::string length = head->header("Content-Length");
    reply.whole = wire.bytes(text, length.empty() ? 0 : std::stoul(length), until);
    if (!text.empty()) piece(text);
  }
  reply.end_ms = now_ms();
  return reply;
}

// ---- Instances of the platform ----

void World::client_sends(const std::string& id) {
  const std::lock_guard lock(mutex_);
  known_.insert(id);
}
bool World::known(const std::string& id) {
  const std::lock_guard lock(mutex_);
  return known_.contains(id);
}
std::vector<World::Attempt> World::arrived(Attempt attempt, int& number) {
  std::vector<Attempt> others;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [n, other] : out_) {
      if (other.id != attempt.id) continue;
      pollfd peer{other.fd, POLLRDHUP, 0};
      const bool given_up = poll(&peer, 1, 0) > 0 && (peer.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
      if (!given_up) others.push_back(other);
    }
    number = attempt.number = ++numbers_;
    if (attempt.executes) ++executions_[attempt.id];
    out_[number] = attempt;
  }
  if (!others.empty() && on_second_copy) on_second_copy(attempt, others);
  return others;
}
void World::over(int number) {
  const std::lock_guard lock(mutex_);
  out_.erase(number);
}
void World::hold(const std::string& id, const std::string& instance) {
  const std::lock_guard lock(mutex_);
  held_[id] = instance;
}
bool World::take(const std::string& id) {
  const std::lock_guard lock(mutex_);
  return held_.erase(id) > 0;
}
void World::release(const std::string& id) { (void)take(id); }
int World::executions(const std::string& id) {
  const std::lock_guard lock(mutex_);
  return executions_[id];
}

Instance::Instance(World& world, std::string id, std::string kind, Pace pace, int cell, std::string zone)
    : world_(world),
      id_(std::move(id)),
      kind_(std::move(kind)),
      zone_(std::move(zone)),
      pace_(pace),
      cell_(cell),
      server_([this](Wire& wire) { serve(wire); }) {}

Listed Instance::listed() const { return {id_, server_.address(), kind_, cell_, zone_}; }

void Instance::serve(Wire& wire) {
  // An idle connection is closed after 15 s, as the settings say.
  while (const std::optional<Message> request = wire.request(now_ms() + 15000)) {
    const std::string path = request->path();
    if (path.starts_with("/bootstrap/rooms/")) {
      const std::string id = path.substr(path.rfind('/') + 1);
      if (request->method() == "DELETE") {
        world_.release(id);
        if (!wire.send("HTTP/1.1 204 No Content\r\n\r\n")) return;
      } else if (!wire.send("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")) {
        return;
      }
    } else if (path == "/-/load" || path == "/-/healthy") {
      const std::string report = "inflight=" + std::to_string(active_) + ",queue=0,x0=0.1,x1=0.0";
      if (!wire.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(report.size()) + "\r\n\r\n" +
                     report)) {
        return;
      }
    } else if (!run(wire, *request)) {
      return;
    }
  }
}

bool Instance::run(Wire& wire, const Message& request) {
  const std::string id = request.header("X-Txn");
  ++requests_;
  if (on_request) on_request(request, now_ms());
  if (!world_.known(id)) {
    note(id_ + " gets the unknown id '" + id + "'");
    return wire.send("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
  }
  if (active_ >= pace_.slots) {
    return wire.send("HTTP/1.1 503 Service Unavailable\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n");
  }
  const std::string labels = request.header("X-Labels");
  const std::size_t at = labels.find("prompt_len=");
  const int prompt = at == std::string::npos ? 1000 : std::atoi(labels.c_str() + at + 11);
  int number = 0;
  ++active_;
  (void)world_.arrived({0, id, id_, wire.fd(), kind_ != "lectura"}, number);
  const bool goes_on = kind_ == "lectura" ? read(wire, id, prompt) : write(wire, id, prompt);
  --active_;
  world_.over(number);
  // An answer is written only after the attempt is over here, so that the next one never meets it.
  if (!goes_on) return false;
  if (kind_ != "lectura") return wire.send("0\r\n\r\n");
  const std::string body = R"({"cached_tokens":0})";
  const std::string answer = "HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!wire.send(answer)) return false;
  if (pace_.second_answer_of > 0 && requests_ % pace_.second_answer_of == 0) {
    sleep_ms(pace_.second_answer_ms);
    ++seconds_;
    note(id_ + " answers " + id + " a second time, " + std::to_string(int(pace_.second_answer_ms)) +
         " ms after the first");
    return wire.send(answer);
  }
  return true;
}

// False if the conductor has gone: work stops then.
bool Instance::pause(Wire& wire, double time) {
  const double until = now_ms() + time;
  while (now_ms() < until) {
    if (wire.peer_gone()) return false;
    sleep_ms(std::min(5.0, until - now_ms()));
  }
  return !wire.peer_gone();
}

bool Instance::read(Wire& wire, const std::string& id, int prompt) {
  if (!pause(wire, 5 + 1000.0 * prompt / pace_.read_tokens_per_s)) return false;
  world_.hold(id, id_);
  return true;
}

bool Instance::write(Wire& wire, const std::string& id, int prompt) {
  const bool fetched = world_.take(id);
  if (!pause(wire, fetched ? 10 : 1000.0 * prompt / pace_.read_tokens_per_s)) return false;
  const auto event = [](const std::string& text, const char* finish) {
    return "data: " +
           json{{"choices",
                 {{{"index", 0},
                   {"delta", {{"content", text}}},
                   {"finish_reason", finish == nullptr ? json() : json(finish)}}}}}
               .dump() +
           "\n\n";
  };
  if (!wire.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
    return false;
  for (int made = 0; made < pace_.tokens; made += pace_.tokens_per_event) {
    if (made > 0 && !pause(wire, pace_.token_ms * pace_.tokens_per_event)) return false;
    const bool last = made + pace_.tokens_per_event >= pace_.tokens;
    if (!wire.send(chunk(event(id + "-" + std::to_string(made) + " ", last ? "stop" : nullptr))))
      return false;
  }
  const json usage = {{"prompt_tokens", prompt},
                      {"completion_tokens", pace_.tokens},
                      {"prompt_tokens_details", {{"cached_tokens", 0}}}};
  return wire.send(chunk("data: " + json{{"choices", json::array()}, {"usage", usage}}.dump() + "\n\n") +
                   chunk("data: [DONE]\n\n"));
}

// ---- Discovery ----

json Discovery::message(int version, bool full, const std::vector<Listed>& list) {
  json servers = json::array();
  for (const Listed& row : list) {
    servers.push_back({{"id", row.id},
                       {"addr", row.address},
                       {"zone", row.zone},
                       {"kind", row.kind},
                       {"cell", row.cell},
                       {"state", row.state},
                       {"weight", 1.0},
                       {"started_ms", row.started_ms}});
  }
  return {{"version", version}, {"full", full}, {"servers", servers}};
}

Discovery::Discovery(const std::vector<Listed>& list)
    : list_(list), server_([this](Wire& wire) {
        const std::optional<Message> request = wire.request(now_ms() + 5000);
        if (!request) return;
        const std::string text = message(2, true, list_).dump() + "\n";
        if (request->path().find("follow=1") == std::string::npos) {
          wire.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                    std::to_string(text.size()) + "\r\n\r\n" + text);
          return;
        }
        wire.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
                  chunk(text));
        for (double next = now_ms() + 2000; !stopping_ && !wire.peer_gone(); sleep_ms(20)) {
          if (now_ms() < next) continue;
          next += 2000;
          if (!wire.send(chunk("\n"))) return;
        }
      }) {}

void Discovery::stop() {
  stopping_ = true;
  server_.stop();
}

// ---- The project's program ----

std::string root() {
  const char* folder = std::getenv("ROOT");
  return folder != nullptr ? folder : ".";
}

std::string temporary_folder() {
  static const std::string folder = [] {
    std::string name = (std::filesystem::temp_directory_path() / "bankmux-review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) std::exit(kNotRun);
    std::atexit([] { std::filesystem::remove_all(temporary_folder()); });
    return name;
  }();
  return folder;
}

std::string run_command() {
  std::ifstream file(root() + "/deploy/balancer.toml");
  std::string text;
  while (std::getline(file, text)) {
    if (!text.starts_with("run")) continue;
    const std::size_t begin = text.find('"') + 1;
    return text.substr(begin, text.find('"', begin) - begin);
  }
  std::exit(kNotRun);
}

json small_site_settings(int conductors) {
  return json::parse(R"({"azs": ["quito-norte", "quito-sur"],
 "callers": {"marksRetry": false},
 "categories": [
  {"deadlineS": 7.5, "effect": "idempotent", "group": "all", "lateWorth": 0.3, "name": "consulta",
   "stream": true, "targetS": 1.5, "windowS": 5.0, "worth": 3.0},
  {"deadlineS": 12.0, "effect": "at_most_once", "group": "all", "lateWorth": 0.1, "name": "ajuste",
   "stream": true, "targetS": 2.5, "windowS": 5.0, "worth": 2.0}],
 "domainType": "twostage",
 "familyInfo": {"ahead": true, "aimUsPer1000PromptTokens": [40000.0, 40000.0],
  "dutyByKind": ["read", "write", "both"], "releaseWithinS": 0.3,
  "reportX0": "share of memory that is held",
  "reportX1": "thousands of prompt tokens waiting to be read or fetched", "resume": false,
  "tokenAimS": [0.06, 0.08], "tokensByKind": [240118, 161613, 183938], "transferPrice": 0.04,
  "writersRead": true},
 "layer": 0, "me": 0, "nInstances": )" +
                     std::to_string(conductors) + R"(, "overShareWorth": 0.1,
 "policyLimits": {"cancel": true, "connIdleS": 15.0, "connectTimeoutS": 0.25, "cpuUsPerRequest": 0.0,
  "cpuUsPerS": 500000, "maxAttempts": 4, "maxOpen": 20000, "maxRetryAfterS": 2.0, "mayProbe": true,
  "peers": false, "retryAfter": true, "secondCopies": false, "streamsPerConn": 100},
 "prices": {"connection": 0.0, "crossZone": 0.0082, "handshake": 0.0, "lateFail": 0.05, "moves": 0.0,
  "origin": 0.0, "peer": 0.0, "probe": 0.0021, "registryMode": 0.0, "waste": 0.16},
 "registryMode": "pushed", "report": {"fields": ["concurrent", "depth", "x0", "x1"], "how": "pull"},
 "resolutionS": 0.004,
 "rules": {"askWithinS": 10.0, "coldFrom": 0.28, "coldS": 11.0, "drainGraceS": 1.0, "fallS": 2.0,
  "graceToAnswerS": 0.016, "overloadFactor": 2.5},
 "scoringMix": {"whole": 0.45, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.35},
 "skus": ["lectura", "escritura", "mixto"], "tenants": [], "tiers": ["modelos"], "weights": "rough",
 "worthBy": "work", "zone": 0})");
}

Program::Program(std::string name, const std::string& command,
                 const std::map<std::string, std::string>& environment, int passed_socket)
    : name_(std::move(name)) {
  const std::string log = temporary_folder() + "/" + name_ + ".log";
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (chdir(root().c_str()) != 0) _exit(kNotRun);
    (void)!std::freopen(log.c_str(), "a", stderr);
    (void)!std::freopen("/dev/null", "r", stdin);
    if (passed_socket >= 0) dup2(passed_socket, 5);
    for (const auto& [key, value] : environment) setenv(key.c_str(), value.c_str(), 1);
    execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    _exit(kNotRun);
  }
  note("started " + name_);
}

Program::~Program() {
  if (!ended(0)) {
    kill(pid_, SIGKILL);
    (void)ended(5000);
  }
}

void Program::signal(int number) const {
  note("signal " + std::to_string(number) + " to " + name_);
  kill(pid_, number);
}

std::optional<int> Program::ended(double wait_ms) {
  const double until = now_ms() + wait_ms;
  while (!result_) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      result_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
      note(name_ + " ended with " + std::to_string(*result_));
    } else if (now_ms() >= until) {
      break;
    } else {
      sleep_ms(10);
    }
  }
  return result_;
}

std::string write_config(const std::string& folder, const std::string& name, const std::string& listen,
                         const std::string& discovery, const std::vector<Listed>& known, const json& settings,
                         const std::string& mgmt, int sockets, int memory_mb) {
  json config = {{"name", name},
                 {"listen", listen},
                 {"discovery", discovery},
                 {"seed", "8c1f30d27a5be964"},
                 {"limits", {{"cores", 1.0}, {"memory_mb", memory_mb}, {"sockets", sockets}}},
                 {"known", Discovery::message(1, true, known)},
                 {"settings", settings}};
  if (!mgmt.empty()) config["mgmt"] = mgmt;
  const std::string path = folder + "/" + name + (mgmt.empty() ? "" : "-" + mgmt.substr(10)) + ".json";
  std::ofstream(path) << config.dump();
  return path;
}

int get_status(const std::string& address, const std::string& path) {
  const int fd = Wire::dial(address);
  if (fd < 0) return 0;
  Wire wire(fd);
  wire.send("GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  const std::optional<Message> head = wire.head(now_ms() + 1000);
  return head ? head->status() : 0;
}

bool wait_ready(const std::string& address, double time_ms) {
  for (const double until = now_ms() + time_ms; now_ms() < until; sleep_ms(20)) {
    if (get_status(address, "/-/ready") == 200) return true;
  }
  return false;
}

}  // namespace rig
