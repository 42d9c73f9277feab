// A TCP relay between the program and one peer that can silence connections: they stay open and pass no data,
// and neither side sees an error. Uses one thread.
#pragma once

#include <atomic>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace faults {

class Relay {
 public:
  // What happens to new connections.
  enum class Dials {
    pass,     // they are relayed
    swallow,  // they are accepted and pass no data
    queue,    // they stay in the kernel's accept queue, as with a suspended process
    reset     // they are accepted and then reset
  };
  explicit Relay(std::string target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void set_dials(Dials dials) { dials_ = dials; }
  // Silences all connections that are open now.
  void silence_open();
  // Silences every second open connection, so that connections to one server differ.
  void silence_every_second();
  // Resets all connections that are open now.
  void reset_open();
  // Restores normal operation, as after a restart of the machine: resets all connections that are open or in
  // the accept queue, and relays new ones.
  void heal();
  [[nodiscard]] std::size_t open() const;

 private:
  struct Pair {
    int near = -1, far = -1;  // sockets to the program and to the peer
    bool silent = false;
    bool near_open = true, far_open = true;  // whether that side has not yet ended its sending direction
  };
  void run();
  bool accept_one();  // false if none is waiting
  void reset_pairs();
  // Forwards available bytes from one socket to the other. Returns false if the pair has to be closed.
  static bool carry(int from, int to, bool& open);
  static void reset(Pair& pair);

  std::string target_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<Dials> dials_{Dials::pass};
  std::atomic<bool> ending_{false};
  mutable std::mutex mutex_;
  std::list<Pair> pairs_;
  std::thread thread_;
};

}  // namespace faults
