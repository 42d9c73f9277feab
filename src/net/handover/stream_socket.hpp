// Carries running streams from one process of a conductor to the next: a Unix socket of whole messages, each
// with two descriptors beside it (unix(7), SCM_RIGHTS). Only where the platform passes the clients' socket
// on.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "net/loop/loop.hpp"
#include "operations/passed_stream.hpp"

namespace bankmux::net {

class Descriptor {
 public:
  explicit Descriptor(int fd = -1) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(other.release()) {}
  Descriptor& operator=(Descriptor&& other) noexcept;
  ~Descriptor();
  [[nodiscard]] int get() const { return fd_; }
  int release();

 private:
  int fd_;
};

// The one that takes over. Another that starts at the same name takes the name over in turn.
class StreamReceiver {
 public:
  // Is given each stream once, with both descriptors, which it owns from then on.
  using Take = std::function<void(operations::PassedStream)>;
  // Throws std::runtime_error where it can't listen there.
  StreamReceiver(Loop& loop, const std::string& path, Take take);
  ~StreamReceiver();
  StreamReceiver(const StreamReceiver&) = delete;
  StreamReceiver& operator=(const StreamReceiver&) = delete;

 private:
  struct Caller {
    StreamReceiver* receiver = nullptr;
    Descriptor socket;
    EventPtr readable;
  };
  void accept();
  // False once the caller is gone or has sent what can't be read.
  bool receive(int socket);

  Loop& loop_;
  Take take_;
  Descriptor listener_;
  EventPtr acceptable_;
  std::list<Caller> callers_;
};

// The one that ends.
class StreamSender {
 public:
  // Calls whoever listens at `path`; null where nobody does. `ready` is called once it has said that it reads
  // this program's format, and `ended` if it never does or is gone.
  static std::unique_ptr<StreamSender> call(Loop& loop, const std::string& path, std::function<void()> ready,
                                            std::function<void()> ended);
  ~StreamSender();
  StreamSender(const StreamSender&) = delete;
  StreamSender& operator=(const StreamSender&) = delete;

  // True: the message and both descriptors are on their way, for good. False: nothing of it is.
  bool send(const std::string& message, int client, int instance);

 private:
  StreamSender(Loop& loop, Descriptor socket, std::function<void()> ready, std::function<void()> ended);
  void hear();

  Descriptor socket_;
  std::function<void()> ready_, ended_;
  bool greeted_ = false;
  EventPtr readable_;
};

}  // namespace bankmux::net
