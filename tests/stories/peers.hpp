// Scripted peers over loopback sockets, and the program itself as a child process. A peer runs its script
// once for each connection, in a thread of its own; scripts speak plain blocking sockets.
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

namespace stories {

struct Message {
  std::string first;  // request or status line
  std::map<std::string, std::string> headers;
  std::string body;
  [[nodiscard]] int status() const { return first.size() > 12 ? std::stoi(first.substr(9, 3)) : 0; }
};

class Wire {
 public:
  explicit Wire(int socket) : socket_(socket) {}
  static std::unique_ptr<Wire> to(const std::string& address, int receive_buffer = 0);
  ~Wire() { close(); }
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;

  void send(const std::string& bytes) const;
  // One message with its body by length; nothing once the other side has closed.
  std::optional<Message> receive();
  // The head alone, then what follows up to `end`, or up to the close where that never comes.
  Message receive_head();
  std::string receive_until(const std::string& end);
  std::string receive_all();
  // So many bytes, or what came before the close.
  std::string receive_bytes(std::size_t count);
  // Whether the other side closes within the time.
  [[nodiscard]] bool closed_within(int ms) const;
  // Whether the other side resets the connection within the time, as one does that closes it with bytes
  // unread.
  [[nodiscard]] bool reset_within(int ms) const;
  void close();
  void reset();             // so that the other side sees a reset
  void half_close() const;  // this side says no more, and reads on
  void interrupt();         // ends all waiting, from any thread

 private:
  bool more();
  std::mutex closing_;
  int socket_;
  std::string buffer_;
};

class Peer {
 public:
  using Script = std::function<void(Wire&)>;
  explicit Peer(Script script, int receive_buffer = 0);
  ~Peer();
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;
  [[nodiscard]] int port() const { return port_; }
  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  void accept_all();
  Script script_;
  int listener_;
  int port_ = 0;
  std::atomic<bool> ending_{false};
  std::mutex mutex_;
  std::vector<std::shared_ptr<Wire>> wires_;
  std::vector<std::thread> connections_;
  std::thread thread_;
};

// What peers saw, in order; waits for it.
class Record {
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

// The program as a child process ($BANKMUX_BINARY where set, for measurements of another build); killed at
// the end of a story that has not ended it.
class Program {
 public:
  Program(std::vector<std::string> arguments, const std::map<std::string, std::string>& environment);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;
  // Waits until something listens at the address.
  [[nodiscard]] static bool listens(const std::string& address);
  // The same for this program; throws with what it said where it has ended instead, or never listens.
  void expect_listening(const std::string& address);
  void send_signal(int number) const;
  void terminate() const;
  [[nodiscard]] pid_t pid() const { return pid_; }
  // Its exit code, once it has ended.
  int wait();
  // What it has printed, once it has ended.
  [[nodiscard]] std::string output() const;

 private:
  pid_t pid_ = 0;
  std::string path_;
};

// An address for the program to listen at: loopback, of this test process alone, never given twice.
std::string own_address();
// A socket that listens there and that programs started from now on inherit.
int listening_socket(const std::string& address);
// Writes a file that is gone at the end of the test program.
std::string temporary_file(const std::string& content);

}  // namespace stories
