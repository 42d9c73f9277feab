// A TCP relay between the program and one peer that can silence connections: they stay open and pass no data,
// and neither side sees an error. Uses one thread.
#pragma once

#include <atomic>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace faults {

class Relay {
 public:
  // What happens to new connections.
  enum class NewConnections {
    pass,     // they are relayed
    silence,  // they are accepted and pass no data
    queue,    // they stay in the kernel's accept queue, as with a suspended process
    reset     // they are accepted and then reset
  };
  explicit Relay(std::string target);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void set_new_connections(NewConnections new_connections) { new_connections_ = new_connections; }
  // Silences all connections that are open now.
  void silence_open_connections();
  // Silences every second open connection, so that connections to one server differ.
  void silence_every_second_connection();
  // Resets all connections that are open now.
  void reset_open_connections();
  // Restores normal operation, as after a restart of the machine: resets all connections that are open or in
  // the accept queue, and relays new ones.
  void restore();
  [[nodiscard]] std::size_t open() const;
  // When the last bytes that were relayed to the peer on its connection with this remote port reached the
  // relay's kernel, on the clock of seconds_now(); empty if that connection is gone.
  [[nodiscard]] std::optional<double> last_arrival(int peer_connection_port) const;

 private:
  struct Pair {
    int program = -1, peer = -1;  // sockets to the program and to the peer
    bool silent = false;
    bool program_open = true, peer_open = true;  // whether that side has not yet ended its sending direction
    int peer_connection_port = 0;                // local port of the socket to the peer
    double last_arrival = 0.0;                   // of bytes from the program
  };
  void run();
  bool accept_one();  // false if none is waiting
  void reset_pairs();
  // Forwards available bytes from one socket to the other. Returns false if the pair has to be closed.
  static bool forward(int from, int to, bool& open);
  static bool forward_to_peer(Pair& pair);
  static void reset(Pair& pair);

  std::string target_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<NewConnections> new_connections_{NewConnections::pass};
  std::atomic<bool> stopping_{false};
  mutable std::mutex mutex_;
  std::list<Pair> pairs_;
  std::thread thread_;
};

}  // namespace faults
