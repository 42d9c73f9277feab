// Pool of HTTP connections to instances: opened on demand, kept while idle, bounded in number. Uses
// bufferevents rather than evhttp's client, for the measured reasons in docs/architecture.md.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "config/address.hpp"
#include "net/http/response_parser.hpp"
#include "net/loop/destruction_watch.hpp"
#include "net/loop/loop.hpp"
#include "net/loop/memory_budget.hpp"

namespace bankmux::net {

struct PoolLimits {
  core::Duration connect_timeout{250'000};  // time limit for a new connection
  core::Duration idle_timeout{12'000'000};  // must be below the instances' own idle timeout
  std::size_t connections = 450;            // open at once, idle ones included
  // Bytes that all answers hold at once: heads, and bodies or events that are not complete. Above it, answers
  // that hold much and have fallen silent are given up.
  std::size_t held_bytes = 32 * 1024 * 1024;
};

class InstancePool;

// How an exchange ended. All but `complete` leave its response incomplete in HTTP's terms.
enum class ExchangeEnd {
  complete,
  not_sent,   // no connection came up, or `may_write` refused
  closed,     // the other side closed the connection
  reset,      // the connection failed
  malformed,  // the response is no valid HTTP
  timed_out,  // the response was given up here
};

// One request and its response on one connection. Destroying it before its end closes the connection, and is
// allowed within each of its events but may_write. No event is raised from within the constructor, and none
// after `on_end`.
class Exchange {
 public:
  // Callbacks of an exchange. may_write() is asked once the connection is up; false ends the exchange before
  // anything is written.
  struct Events {
    virtual ~Events() = default;
    virtual bool may_write() = 0;
    virtual void on_written() = 0;
    virtual void on_body(std::string bytes) = 0;  // the response head is complete by then
    virtual void on_end(ExchangeEnd end) = 0;
    // Memory in bytes that the handler holds of an answer that is not complete, and its release, after which
    // only on_end follows.
    [[nodiscard]] virtual std::size_t held_bytes() const { return 0; }
    virtual void release_held_bytes() {}
  };

  // Produces the request head, or a whole request without a body. Called once, before the first byte is
  // written.
  using HeadWriter = std::function<std::string()>;
  // `body` is shared, not copied.
  Exchange(InstancePool& pool, std::string address, HeadWriter head, std::shared_ptr<const std::string> body,
           core::ConnectionTerms terms, Events& events);
  // Continues an exchange whose response another process has read up to `position`; takes ownership of the
  // descriptor.
  Exchange(InstancePool& pool, std::string address, int descriptor,
           const ResponseParser::BodyPosition& position, Events& events);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  [[nodiscard]] core::Progress progress() const;
  // Pauses (true) or resumes (false) reading from the connection.
  void pause(bool on);
  [[nodiscard]] bool has_unread_input() const;
  [[nodiscard]] const ResponseParser& response() const { return parser_; }
  // Whether this side closed the connection: the response was incomplete and the other side had not closed.
  [[nodiscard]] bool closed_here() const { return closed_here_; }
  // The descriptor, if the exchange is within a streamed body and no input or output is buffered here;
  // otherwise -1.
  [[nodiscard]] int handover_descriptor() const;

 private:
  friend class InstancePool;
  void set_callbacks();
  void arm_connect_timeout();
  void on_connected();
  [[nodiscard]] std::size_t write_now(const std::string& head) const;
  void queue_body(std::size_t offset);
  void on_output_written();
  void on_readable();
  // `events`: as libevent reports them (BEV_EVENT_...).
  void on_closed(short events);
  void finish(ExchangeEnd end);
  void close();
  void update_memory();
  // Gives up the answer and frees what it holds.
  void give_up();

  InstancePool& pool_;
  std::string address_;
  HeadWriter head_;
  std::shared_ptr<const std::string> body_;
  Events& events_;
  BufferEventPtr connection_;
  std::unique_ptr<core::Timer> timeout_;
  ResponseParser parser_;
  bool is_attempt_ = false;  // false for a call without a body
  bool closed_here_ = true;
  bool reused_ = false;
  bool response_started_ = false;  // some bytes of a response have arrived
  core::Progress progress_ = core::Progress::not_connected;
  MemoryBudget::Account memory_;
  DestructionFlag destruction_;
};

class InstancePool {
 public:
  InstancePool(Loop& loop, PoolLimits limits) : loop_(loop), limits_(limits), memory_(limits.held_bytes) {}
  ~InstancePool();
  InstancePool(const InstancePool&) = delete;
  InstancePool& operator=(const InstancePool&) = delete;

  // Closes the idle connections to this address, for use after its process has ended.
  void close_idle(const std::string& address);
  [[nodiscard]] std::size_t open() const { return open_; }

 private:
  friend class Exchange;
  struct Idle {
    InstancePool* pool = nullptr;
    std::string address;
    BufferEventPtr connection;
    core::Time answered{0};         // when its last response was complete
    bool answered_attempt = false;  // whether that response was to an attempt, not to a call without a body
  };

  // Whether reused connections have been reliable enough lately. `failure_harmless`: the request may run
  // twice.
  [[nodiscard]] bool may_reuse(bool failure_harmless) const;
  void record_reuse(bool success);
  BufferEventPtr take_idle(const std::string& address, bool failure_harmless);
  BufferEventPtr connect(const std::string& address);
  void add_idle(const std::string& address, BufferEventPtr connection, bool answered_attempt);
  static void on_idle_event(Idle* idle);

  Loop& loop_;
  PoolLimits limits_;
  // Decaying counts of requests on reused connections that were answered, and of those that failed without an
  // answer, as of `reuse_updated_`.
  double reuse_successes_ = 0.0, reuse_failures_ = 0.0;
  core::Time reuse_updated_{0};
  std::size_t open_ = 0;  // including idle ones
  MemoryBudget memory_;
  std::map<std::string, std::list<Idle>> idle_;  // most recently used first
};

}  // namespace bankmux::net
