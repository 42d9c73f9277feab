// Hands running streams over from one conductor process to its successor: a Unix SOCK_SEQPACKET socket whose
// messages each carry two descriptors (unix(7), SCM_RIGHTS). Used only if the platform passes the listening
// socket on.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/loop/loop.hpp"
#include "operations/handover_message.hpp"

namespace bankmux::net {

// Owns a file descriptor; -1 means none.
class Descriptor {
 public:
  explicit Descriptor(int fd = -1) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(other.release()) {}
  Descriptor& operator=(Descriptor&& other) noexcept;
  ~Descriptor();
  [[nodiscard]] int get() const { return fd_; }
  // Gives up ownership and returns the descriptor.
  int release();

 private:
  int fd_;
};

// Receiving side, in the successor. A later process that binds the same path takes the path over in turn.
class StreamReceiver {
 public:
  // Called once per stream; the callee owns both descriptors from then on.
  using StreamHandler = std::function<void(operations::HandedOverStream)>;
  // Throws std::runtime_error if it cannot listen at `path`.
  StreamReceiver(Loop& loop, const std::string& path, StreamHandler take);
  ~StreamReceiver();
  StreamReceiver(const StreamReceiver&) = delete;
  StreamReceiver& operator=(const StreamReceiver&) = delete;

  // Handles all messages that have arrived, before the loop reports them.
  void receive_pending();

 private:
  enum class Received { message, nothing, end };
  struct Connection {
    StreamReceiver* receiver = nullptr;
    Descriptor socket;
    EventPtr readable;
  };
  void on_connection();
  // Reads and handles one message. `end`: the sender has disconnected or the read failed.
  Received receive(int socket);

  Loop& loop_;
  StreamHandler on_stream_;
  Descriptor listener_;
  EventPtr accept_event_;
  std::list<Connection> connections_;
};

// Sending side, in the process that shuts down.
class StreamSender {
 public:
  // Connects to the receiver listening at `path`; null if there is none. `ready` is called once the receiver
  // has confirmed that it reads this message format; `ended` if it never does or the connection ends.
  static std::unique_ptr<StreamSender> connect(Loop& loop, const std::string& path,
                                               std::function<void()> ready, std::function<void()> ended);
  ~StreamSender();
  StreamSender(const StreamSender&) = delete;
  StreamSender& operator=(const StreamSender&) = delete;

  // True if the message and both descriptors were sent and cannot be recalled; false if nothing was sent.
  bool send(const std::string& message, int client, int instance);

 private:
  StreamSender(Loop& loop, Descriptor socket, std::function<void()> ready, std::function<void()> ended);
  void on_readable();

  Descriptor socket_;
  std::function<void()> ready_, ended_;
  bool hello_received_ = false;
  EventPtr readable_event_;
};

}  // namespace bankmux::net
