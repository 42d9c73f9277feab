#include "peers.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace integration {

namespace {

using namespace std::chrono_literals;

sockaddr_in socket_address(const std::string& text) {
  const std::size_t colon = text.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

int bound_socket(int& port, int receive_buffer = 0) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  sockaddr_in address = socket_address("127.0.0.1:0");
  socklen_t size = sizeof address;
  if (bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0)
    throw std::runtime_error("cannot bind a loopback socket");
  getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return socket;
}

struct Files {
  std::vector<std::string> paths;
  ~Files() {
    for (const std::string& path : paths) std::remove(path.c_str());
  }
} files;

}  // namespace

std::unique_ptr<TestConnection> TestConnection::to(const std::string& where, int receive_buffer) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  const sockaddr_in address = socket_address(where);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(socket);
    return nullptr;
  }
  return std::make_unique<TestConnection>(socket);
}

void TestConnection::send(const std::string& bytes) const {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t now = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (now <= 0) return;  // the other side has closed; tests detect that elsewhere
    sent += std::size_t(now);
  }
}

bool TestConnection::receive_more() {
  pollfd ready{socket_, POLLIN, 0};
  if (poll(&ready, 1, 10000) <= 0) return false;  // a test that hangs fails instead
  char bytes[4096];
  const ssize_t got = recv(socket_, bytes, sizeof bytes, 0);
  if (got <= 0) return false;
  buffer_.append(bytes, std::size_t(got));
  return true;
}

std::string TestConnection::receive_until(const std::string& end) {
  std::size_t at = 0;
  while ((at = buffer_.find(end)) == std::string::npos) {
    if (!receive_more()) return std::exchange(buffer_, {});
  }
  std::string result = buffer_.substr(0, at + end.size());
  buffer_.erase(0, at + end.size());
  return result;
}

std::string TestConnection::receive_all() {
  while (receive_more()) {
  }
  return std::exchange(buffer_, {});
}

Message TestConnection::receive_head() {
  Message message;
  std::string head = receive_until("\r\n\r\n");
  std::size_t begin = 0;
  for (std::size_t end = 0; (end = head.find("\r\n", begin)) != std::string::npos; begin = end + 2) {
    const std::string line = head.substr(begin, end - begin);
    const std::size_t colon = line.find(": ");
    if (begin == 0) {
      message.first = line;
    } else if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
      message.headers[name] = line.substr(colon + 2);
    }
  }
  return message;
}

std::optional<Message> TestConnection::receive() {
  Message message = receive_head();
  if (message.first.empty()) return std::nullopt;
  const std::size_t length =
      message.headers.contains("content-length") ? std::stoul(message.headers["content-length"]) : 0;
  message.body = receive_bytes(length);
  if (message.body.size() < length) return std::nullopt;
  return message;
}

std::string TestConnection::receive_bytes(std::size_t count) {
  while (buffer_.size() < count && receive_more()) {
  }
  std::string result = buffer_.substr(0, count);
  buffer_.erase(0, count);
  return result;
}

double seconds_since_input(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0.0;
  constexpr double kMaxTick = 0.01;  // seconds; the kernel counts ticks of its timer, 100 a second at least
  return std::max(0.0, info.tcpi_last_data_recv / 1000.0 - kMaxTick);
}

int TestConnection::peer_port() const {
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  if (getpeername(socket_, reinterpret_cast<sockaddr*>(&peer), &size) != 0) return 0;
  return ntohs(peer.sin_port);
}

double TestConnection::seconds_since_input() const { return integration::seconds_since_input(socket_); }

bool TestConnection::closed_within(int ms) const {
  pollfd ready{socket_, POLLIN | POLLRDHUP, 0};
  return poll(&ready, 1, ms) > 0 && (ready.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool TestConnection::reset_within(int ms) const {
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(ms);
  while (std::chrono::steady_clock::now() < until) {
    // Polls for errors only, because the other side's half-close would make the socket readable throughout.
    pollfd ended{socket_, 0, 0};
    if (poll(&ended, 1, 10) > 0 && (ended.revents & POLLERR) != 0) return true;
  }
  return false;
}

void TestConnection::close() {
  const std::lock_guard lock(socket_mutex_);
  if (socket_ >= 0) ::close(std::exchange(socket_, -1));
}

void TestConnection::half_close() const { shutdown(socket_, SHUT_WR); }

void TestConnection::interrupt() {
  const std::lock_guard lock(socket_mutex_);
  if (socket_ >= 0) shutdown(socket_, SHUT_RDWR);
}

void TestConnection::reset() {
  const linger now{1, 0};
  setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  close();
}

ScriptedServer::ScriptedServer(Script script, int receive_buffer) : script_(std::move(script)) {
  listener_ = bound_socket(port_, receive_buffer);
  // The backlog of a real server: a hundred simultaneous connects overflow a short one, and the kernel drops
  // them silently.
  listen(listener_, SOMAXCONN);
  thread_ = std::thread([this] { accept_all(); });
}

void ScriptedServer::accept_all() {
  for (;;) {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0 || ending_) return;
    const std::lock_guard lock(mutex_);
    const auto wire = wires_.emplace_back(std::make_shared<TestConnection>(socket));
    connections_.emplace_back([this, wire] {
      script_(*wire);
      wire->close();
    });
  }
}

ScriptedServer::~ScriptedServer() {
  ending_ = true;
  shutdown(listener_, SHUT_RDWR);
  thread_.join();
  ::close(listener_);
  for (const auto& wire : wires_) wire->interrupt();
  for (std::thread& connection : connections_) connection.join();
}

void EventLog::add(const std::string& what) {
  const std::lock_guard lock(mutex_);
  seen_.push_back(what);
  changed_.notify_all();
}

bool EventLog::wait_for(const std::string& what, int count, int ms) {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, ms * 1ms, [&] { return std::ranges::count(seen_, what) >= count; });
}

int EventLog::count(const std::string& what) {
  const std::lock_guard lock(mutex_);
  return int(std::ranges::count(seen_, what));
}

void EventLog::clear() {
  const std::lock_guard lock(mutex_);
  seen_.clear();
}

std::vector<std::string> EventLog::all() {
  const std::lock_guard lock(mutex_);
  return seen_;
}

Program::Program(std::vector<std::string> arguments, const std::map<std::string, std::string>& environment)
    : path_(temporary_file("")) {
  std::vector<std::string> variables;
  // The given variables come first: of two with the same name, the first one counts.
  for (const auto& [name, value] : environment) variables.push_back(name + "=" + value);
  for (char** variable = environ; *variable != nullptr; ++variable) variables.emplace_back(*variable);
  const char* other = std::getenv("BANKMUX_BINARY");
  const std::string program = other != nullptr ? other : BANKMUX_PROGRAM;
  arguments.insert(arguments.begin(), program);
  const auto pointers = [](std::vector<std::string>& texts) {
    std::vector<char*> result;
    for (std::string& text : texts) result.push_back(text.data());
    result.push_back(nullptr);
    return result;
  };
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, path_.c_str(), O_WRONLY | O_TRUNC, 0);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr, pointers(arguments).data(),
                                pointers(variables).data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) throw std::runtime_error("cannot start " + program + ": " + std::strerror(error));
}

Program::~Program() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

bool Program::listens(const std::string& address) {
  for (int i = 0; i < 500; ++i) {
    if (TestConnection::to(address) != nullptr) return true;
    std::this_thread::sleep_for(20ms);
  }
  return false;
}

void Program::expect_listening(const std::string& address) {
  if (listens(address)) return;
  int status = 0;
  const bool ended = waitpid(pid_, &status, WNOHANG) == pid_;
  if (ended) pid_ = 0;
  throw std::runtime_error("the program does not serve at " + address + ", and " +
                           (ended ? "has ended with status " + std::to_string(status) : "still runs") +
                           "; its output:\n" + output());
}

void Program::send_signal(int number) const { kill(pid_, number); }

void Program::terminate() const { send_signal(SIGTERM); }

int Program::wait() {
  int status = 0;
  waitpid(std::exchange(pid_, 0), &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string Program::output() const {
  std::ifstream file(path_);
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string unique_address() {
  static int given = 0;
  const int pid = getpid();
  ++given;
  // Outgoing connections use the source address 127.0.0.1, so no other socket takes these ports.
  return "127." + std::to_string(64 + pid / 250 % 128) + "." + std::to_string(pid % 250) + "." +
         std::to_string(1 + given % 250) + ":" + std::to_string(7000 + given / 250);
}

int listening_socket(const std::string& address) {
  sockaddr_in ip{};
  ip.sin_family = AF_INET;
  const std::size_t colon = address.find(':');
  ip.sin_port = htons(std::uint16_t(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &ip.sin_addr);
  // Without SOCK_CLOEXEC, to be inherited by the program.
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  if (bind(socket, reinterpret_cast<sockaddr*>(&ip), sizeof ip) != 0 || listen(socket, 128) != 0) {
    throw std::runtime_error("cannot listen at " + address);
  }
  return socket;
}

std::string temporary_file(const std::string& content) {
  const char* folder = std::getenv("TMPDIR");
  std::string path = std::string(folder != nullptr ? folder : "/tmp") + "/bankmux-test-XXXXXX";
  const int file = mkstemp(path.data());
  if (file < 0 || write(file, content.data(), content.size()) != ssize_t(content.size())) {
    throw std::runtime_error("cannot create a temporary file");
  }
  ::close(file);
  files.paths.push_back(path);
  return path;
}

}  // namespace integration
