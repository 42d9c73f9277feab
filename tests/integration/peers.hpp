// Scripted peers over loopback sockets, and the program as a child process. A peer runs its script once per
// connection, in a thread of its own, on blocking sockets.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace integration {

struct Message {
  std::string first;  // request or status line
  std::map<std::string, std::string> headers;
  std::string body;
  [[nodiscard]] int status() const { return first.size() > 12 ? std::stoi(first.substr(9, 3)) : 0; }
};

// Seconds since the kernel received the last input on a TCP socket at the latest, whether or not it has been
// read.
double seconds_since_input(int socket);

class TestConnection {
 public:
  explicit TestConnection(int socket) : socket_(socket) {}
  static std::unique_ptr<TestConnection> to(const std::string& address, int receive_buffer = 0);
  ~TestConnection() { close(); }
  TestConnection(const TestConnection&) = delete;
  TestConnection& operator=(const TestConnection&) = delete;

  void send(const std::string& bytes) const;
  // Receives one message with a body framed by Content-Length; empty if the other side has closed.
  std::optional<Message> receive();
  // Receive the head only; everything up to and including `end`, or up to the close; everything up to the
  // close.
  Message receive_head();
  std::string receive_until(const std::string& end);
  std::string receive_all();
  // Receives `count` bytes, or what arrived before the close.
  std::string receive_bytes(std::size_t count);
  [[nodiscard]] int peer_port() const;
  // The same for this connection.
  [[nodiscard]] double seconds_since_input() const;
  // Whether the other side closes or shuts down its sending side within the time.
  [[nodiscard]] bool closed_within(int ms) const;
  // Whether the other side resets the connection within the time, as a close with unread input does.
  [[nodiscard]] bool reset_within(int ms) const;
  void close();
  void reset();             // closes so that the other side sees a reset
  void half_close() const;  // shuts down the sending side only
  void interrupt();         // ends all waiting calls; callable from any thread

 private:
  bool receive_more();
  std::mutex socket_mutex_;
  int socket_;
  std::string buffer_;
};

class ScriptedServer {
 public:
  using Script = std::function<void(TestConnection&)>;
  explicit ScriptedServer(Script script, int receive_buffer = 0);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void accept_all();
  Script script_;
  int listener_;
  int port_ = 0;
  std::atomic<bool> ending_{false};
  std::mutex mutex_;
  std::vector<std::shared_ptr<TestConnection>> wires_;
  std::vector<std::thread> connections_;
  std::thread thread_;
};

// Thread-safe list of the events that peers observed, in order, with waiting for an event.
class EventLog {
 public:
  void add(const std::string& what);
  bool wait_for(const std::string& what, int count = 1, int ms = 5000);
  [[nodiscard]] int count(const std::string& what);
  [[nodiscard]] std::vector<std::string> all();
  void clear();

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> seen_;
};

// The program as a child process, or the one named by $BANKMUX_BINARY to measure another build. It is killed
// by the destructor if it is still running.
class Program {
 public:
  Program(std::vector<std::string> arguments, const std::map<std::string, std::string>& environment);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;
  // Waits until something listens at the address; false after 10 s.
  [[nodiscard]] static bool listens(const std::string& address);
  // The same for this program. Throws std::runtime_error with its output if it has ended or does not listen.
  void expect_listening(const std::string& address);
  void send_signal(int number) const;
  void terminate() const;
  [[nodiscard]] pid_t pid() const { return pid_; }
  // Waits for the program to end and returns its exit code, or -1 if a signal ended it.
  int wait();
  // Output so far on standard output and standard error.
  [[nodiscard]] std::string output() const;

 private:
  pid_t pid_ = 0;
  std::string path_;
};

// A loopback address for the program to listen at, unique within the test process and to it.
std::string unique_address();
// A socket that listens at the address and is inherited by programs started from now on.
int listening_socket(const std::string& address);
// Creates a file that is deleted when the test process ends.
std::string temporary_file(const std::string& content);

}  // namespace integration
