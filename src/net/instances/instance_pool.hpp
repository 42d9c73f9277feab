// Connections to instances: opened as needed, kept while idle, never more than the bound. On bufferevents,
// not evhttp's client: see docs/architecture.md for what was measured.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "config/address.hpp"
#include "net/http/response_parser.hpp"
#include "net/loop/loop.hpp"

namespace bankmux::net {

struct PoolLimits {
  core::Duration connect{250'000};
  core::Duration idle{12'000'000};  // below the instances' own limit
  std::size_t connections = 450;
};

class InstancePool;

// One request and its response on one connection. Destroyed before its end, it closes the connection.
// No event comes from within start(), and none after `on_end`, during which it may be destroyed.
class Exchange {
 public:
  struct Events {
    virtual ~Events() = default;
    virtual bool may_write() = 0;
    virtual void on_written() = 0;
    virtual void on_body(std::string bytes) = 0;  // the head is in by then
    virtual void on_end(bool whole) = 0;
  };

  // Words a request's head, or a whole request without a body; called once, before its first byte is written.
  using HeadWriter = std::function<std::string()>;
  // `body` is shared, not copied.
  Exchange(InstancePool& pool, std::string address, HeadWriter head, std::shared_ptr<const std::string> body,
           core::ConnectionTerms terms, Events& events);
  // Goes on with one whose response another process has read so far; takes the descriptor.
  Exchange(InstancePool& pool, std::string address, int descriptor, const ResponseParser::Place& place,
           Events& events);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  [[nodiscard]] core::Progress progress() const;
  // Stops reading from the connection, and goes on.
  void pause(bool on);
  [[nodiscard]] const ResponseParser& response() const { return parser_; }
  // Its end was this side's doing: neither a whole response nor the connection's end by the other side.
  [[nodiscard]] bool closed_here() const { return closed_here_; }
  // Its descriptor where it is within a streamed body and nothing read or written waits in this process; else
  // -1.
  [[nodiscard]] int passable() const;

 private:
  friend class InstancePool;
  void watch();
  void limit_dial();
  void connected();
  void write_body();
  void written();
  void readable();
  void closed();
  void end(bool whole);
  void close();

  InstancePool& pool_;
  std::string address_;
  HeadWriter head_;
  std::shared_ptr<const std::string> body_;
  Events& events_;
  BufferEventPtr connection_;
  std::unique_ptr<core::Timer> limit_;
  ResponseParser parser_;
  bool attempt_ = false;  // not a call without a body
  bool closed_here_ = true;
  bool reused_ = false;
  bool heard_ = false;  // any byte of a response
  core::Progress progress_ = core::Progress::not_connected;
  bool* destroyed_ = nullptr;  // set while an event is told that may destroy this
};

class InstancePool {
 public:
  InstancePool(Loop& loop, PoolLimits limits) : loop_(loop), limits_(limits) {}
  ~InstancePool();
  InstancePool(const InstancePool&) = delete;
  InstancePool& operator=(const InstancePool&) = delete;

  // Closes the idle connections there: that process is gone.
  void drop(const std::string& address);
  [[nodiscard]] std::size_t open() const { return open_; }

 private:
  friend class Exchange;
  struct Idle {
    InstancePool* pool = nullptr;
    std::string address;
    BufferEventPtr connection;
    core::Time answered{0};        // when its last response was whole
    bool answered_stream = false;  // and whether that was an attempt's 200
  };

  // Whether kept connections have lately lived to their next answer, well enough for such a request.
  [[nodiscard]] bool trusts_kept(bool trouble_harmless) const;
  void note_kept(bool lived);
  BufferEventPtr take_idle(const std::string& address, bool trouble_harmless);
  BufferEventPtr connect(const std::string& address);
  void keep(const std::string& address, BufferEventPtr connection, bool answered_stream);
  static void closed_idle(Idle* idle);

  Loop& loop_;
  PoolLimits limits_;
  // Requests on kept connections that were answered, and that broke unanswered; fading, as of `kept_at_`.
  double kept_good_ = 0.0, kept_bad_ = 0.0;
  core::Time kept_at_{0};
  std::size_t open_ = 0;                         // idle ones too
  std::map<std::string, std::list<Idle>> idle_;  // the latest used in front
};

}  // namespace bankmux::net
