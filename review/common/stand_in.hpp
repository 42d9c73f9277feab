// Helpers of the review's cases: clients, servers and a discovery service on loopback, and child processes.
// They use the C++ standard library and POSIX alone.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace stand_in {

// Exit codes of a case.
constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

using Clock = std::chrono::steady_clock;

inline const Clock::time_point kStart = Clock::now();

// Seconds since the start of the case.
inline double now_s() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }

inline void sleep_until(double time_s) {
  std::this_thread::sleep_until(
      kStart + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(time_s)));
}

inline void sleep_for(double seconds) { sleep_until(now_s() + seconds); }

// What was sent, answered and run, a line each with its time.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void line(const std::string& text) {
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ", now_s());
    const std::lock_guard lock(mutex_);
    file_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline std::string address_of(int port) { return "127.0.0.1:" + std::to_string(port); }

// A listening socket; `port` 0: any free one, which is stored there.
inline int listen_on(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(port);
  socklen_t size = sizeof address;
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 128) != 0) {
    std::perror("listen");
    std::exit(kCouldNotRun);
  }
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

// A port that is free at this moment, for a process that listens by itself.
inline int free_port() {
  int port = 0;
  close(listen_on(port));
  return port;
}

// One HTTP message, without its framing.
struct Message {
  std::string first;                           // request line or status line
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  bool complete = false;  // whether its framing came to its end
  [[nodiscard]] std::string header(const std::string& name) const {
    const auto it = headers.find(name);
    return it != headers.end() ? it->second : "";
  }
  [[nodiscard]] int status() const { return first.size() >= 12 ? std::atoi(first.c_str() + 9) : 0; }
};

// A TCP connection with a buffer for what was read ahead.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { close(fd_); }

  static std::unique_ptr<Connection> to(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
      return std::make_unique<Connection>(fd);
    close(fd);
    return nullptr;
  }

  bool send(const std::string& bytes) const {
    for (std::size_t done = 0; done < bytes.size();) {
      const ssize_t n = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0) return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }

  // Reads more until `until_s`; false at the time or if the peer has ended the connection.
  bool fill(double until_s) {
    pollfd readable{fd_, POLLIN, 0};
    const double wait_ms = (until_s - now_s()) * 1000;
    if (wait_ms <= 0 || poll(&readable, 1, static_cast<int>(wait_ms) + 1) <= 0) return false;
    char bytes[16384];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    ended_ = n <= 0;
    reset_ = n < 0;
    if (ended_) return false;
    input_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  std::optional<std::string> line(double until_s) {
    std::size_t end = 0;
    while ((end = input_.find('\n')) == std::string::npos) {
      if (!fill(until_s)) return std::nullopt;
    }
    std::string text = input_.substr(0, end);
    input_.erase(0, end + 1);
    if (!text.empty() && text.back() == '\r') text.pop_back();
    return text;
  }

  bool bytes(std::size_t count, std::string& body, double until_s) {
    while (input_.size() < count) {
      if (!fill(until_s)) return false;
    }
    body += input_.substr(0, count);
    input_.erase(0, count);
    return true;
  }

  // Head of a message; nullopt if none came in time.
  std::optional<Message> head(double until_s) {
    Message message;
    const auto first = line(until_s);
    if (!first) return std::nullopt;
    message.first = *first;
    for (;;) {
      const auto text = line(until_s);
      if (!text) return std::nullopt;
      if (text->empty()) return message;
      const std::size_t colon = text->find(':');
      std::string name = text->substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
      const std::size_t value = text->find_first_not_of(' ', colon + 1);
      message.headers[name] = value == std::string::npos ? "" : text->substr(value);
    }
  }

  // A whole message, its body by length or in chunks. `on_chunk` sees each chunk as it comes.
  std::optional<Message> message(double until_s,
                                 const std::function<void(const std::string&)>& on_chunk = {}) {
    std::optional<Message> result = head(until_s);
    if (!result) return std::nullopt;
    if (result->header("transfer-encoding") != "chunked") {
      const auto length = static_cast<std::size_t>(std::atol(result->header("content-length").c_str()));
      result->complete = bytes(length, result->body, until_s);
      return result;
    }
    for (;;) {
      const auto size_line = line(until_s);
      if (!size_line) return result;
      const std::size_t size = std::strtoul(size_line->c_str(), nullptr, 16);
      std::string chunk;
      if (size > 0 && !bytes(size, chunk, until_s)) return result;
      if (!line(until_s)) return result;
      if (size == 0) {
        result->complete = true;
        return result;
      }
      result->body += chunk;
      if (on_chunk) on_chunk(chunk);
    }
  }

  // Waits; true as soon as the peer has ended the connection.
  bool closed_within(double seconds) {
    const double until_s = now_s() + seconds;
    while (!ended_ && now_s() < until_s) fill(until_s);
    return ended_;
  }

  // Lets the end of this object reset the connection, as the death of its process would.
  void reset_on_close() const {
    const linger reset{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }

  [[nodiscard]] bool ended() const { return ended_; }
  [[nodiscard]] bool reset() const { return reset_; }

 private:
  int fd_;
  std::string input_;
  bool ended_ = false, reset_ = false;
};

constexpr double kForever = 1e6;

inline std::string response(const std::string& status, const std::string& body = "",
                            const std::string& headers = "") {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

inline std::string chunk(const std::string& bytes) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// Listens on loopback and runs `serve` for each connection, in a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Connection&)>;
  explicit Server(Serve serve) : serve_(std::move(serve)) {
    const int fd = listen_on(port_);
    std::thread([this, fd] {
      for (;;) {
        const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) continue;
        std::thread([this, accepted] {
          Connection connection(accepted);
          serve_(connection);
        }).detach();
      }
    }).detach();
  }
  [[nodiscard]] int port() const { return port_; }

 private:
  Serve serve_;
  int port_ = 0;
};

// A child process, started by /bin/sh -c in `folder` and ended with this object at the latest.
class Process {
 public:
  Process(const std::string& folder, const std::string& command,
          const std::map<std::string, std::string>& environment, const std::string& log_path,
          int passed_socket = -1, int passed_as = -1) {
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (log >= 0) dup2(log, 2);
    if (log >= 0) dup2(log, 1);
    if (passed_socket >= 0) dup2(passed_socket, passed_as);
    for (const auto& [name, value] : environment) setenv(name.c_str(), value.c_str(), 1);
    if (chdir(folder.c_str()) == 0) execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    _exit(127);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() {
    signal(SIGKILL);
    if (!exited_) waitpid(pid_, nullptr, 0);
  }
  void signal(int number) {
    if (!exited()) kill(pid_, number);
  }
  // Whether it has ended; its status is in `status` then.
  bool exited() {
    if (!exited_) exited_ = waitpid(pid_, &status_, WNOHANG) == pid_;
    return exited_;
  }
  [[nodiscard]] int status() const { return status_; }

 private:
  pid_t pid_;
  bool exited_ = false;
  int status_ = 0;
};

}  // namespace stand_in
