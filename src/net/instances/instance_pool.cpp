#include "net/instances/instance_pool.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace bankmux::net {

using namespace std::chrono_literals;
using core::Progress;

namespace {

constexpr int kSendBufferBytes = 32 * 1024;
// Quarantine of a pooled connection after a response. An instance that answers twice does so within a few
// milliseconds, and a duplicate read after the next request was sent would be taken for that request's
// response: another request's events would reach the client, and a duplicated prefill result would start a
// second attempt beside the first. After the response to an attempt, the quarantine applies to every request.
// After the response to a call without a body, it applies only to requests that a stray response could harm:
// a refusal would falsely prove that they were not executed.
constexpr core::Duration kQuarantine = 50ms;
// From the head to the end of a response that is no stream: the body of a refusal is not worth waiting for.
constexpr core::Duration kBodyTimeout{500'000};
// The same for the result of a prefill, whose cache is held meanwhile.
constexpr core::Duration kPrefillBodyTimeout{200'000};
constexpr int kPrefillDone = 202;

// Whether the connection is open with nothing to read. One that the server has closed must not be reused.
bool open_without_input(bufferevent* connection) {
  char byte = 0;
  const ssize_t got = recv(bufferevent_getfd(connection), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Limits for the reuse of idle connections.
constexpr double kReuseDecayUs = 20e6;      // time constant, in microseconds, of the decay of the counts
constexpr double kMaxFailureShare = 0.1;    // failure share up to which repeatable requests reuse connections
constexpr double kInitialSuccesses = 10.0;  // assumed successes before anything was observed
// Of one failure: 46 s after it, other requests reuse connections again.
constexpr double kMaxRecentFailures = 0.1;

}  // namespace

// ---- Exchange ----

Exchange::Exchange(InstancePool& pool, std::string address, HeadWriter head,
                   std::shared_ptr<const std::string> body, core::ConnectionTerms terms, Events& events)
    : pool_(pool),
      address_(std::move(address)),
      head_(std::move(head)),
      body_(std::move(body)),
      events_(events),
      memory_(pool.memory_, [this] { give_up(); }) {
  is_attempt_ = body_ != nullptr;
  if (!terms.new_connection && pool_.may_reuse(terms.failure_harmless)) {
    connection_ = pool_.take_idle(address_, terms.failure_harmless);
  }
  reused_ = connection_ != nullptr;
  if (!reused_) connection_ = pool_.connect(address_);
  if (connection_ == nullptr || reused_) {
    // Deferred to the loop, because no event may come from within the constructor.
    timeout_ = pool_.loop_.at(pool_.loop_.now(),
                              [this] { reused_ ? on_connected() : finish(ExchangeEnd::not_sent); });
  } else {
    arm_connect_timeout();
  }
  if (connection_ == nullptr) return;
  set_callbacks();
}

Exchange::Exchange(InstancePool& pool, std::string address, int descriptor,
                   const ResponseParser::BodyPosition& position, Events& events)
    : pool_(pool),
      address_(std::move(address)),
      events_(events),
      connection_(bufferevent_socket_new(pool.loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE)),
      is_attempt_(true),
      response_started_(true),
      progress_(Progress::streaming),
      memory_(pool.memory_, [this] { give_up(); }) {
  if (!connection_) {
    evutil_closesocket(descriptor);
    throw std::runtime_error("no buffer for a connection");
  }
  ++pool_.open_;
  if (!parser_.resume_stream(position)) {
    timeout_ = pool_.loop_.at(pool_.loop_.now(), [this] { finish(ExchangeEnd::malformed); });
    return;
  }
  set_callbacks();
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
}

int Exchange::handover_descriptor() const {
  if (connection_ == nullptr || progress_ != Progress::streaming || !parser_.position()) return -1;
  const bool empty = evbuffer_get_length(bufferevent_get_input(connection_.get())) == 0 &&
                     evbuffer_get_length(bufferevent_get_output(connection_.get())) == 0;
  return empty ? bufferevent_getfd(connection_.get()) : -1;
}

void Exchange::set_callbacks() {
  bufferevent_setcb(
      connection_.get(),
      [](bufferevent*, void* self) {
        run_guarded("instance", [self] { static_cast<Exchange*>(self)->on_readable(); });
      },
      [](bufferevent*, void* self) {
        run_guarded("instance", [self] { static_cast<Exchange*>(self)->on_output_written(); });
      },
      [](bufferevent*, short what, void* self) {
        run_guarded("instance", [self, what] {
          auto* exchange = static_cast<Exchange*>(self);
          if (what & BEV_EVENT_CONNECTED) {
            exchange->on_connected();
          } else {
            exchange->on_closed(what);
          }
        });
      },
      this);
}

Exchange::~Exchange() { close(); }

Progress Exchange::progress() const {
  // The last byte may be written although its callback has not run yet.
  if (progress_ == Progress::unwritten && connection_ != nullptr &&
      evbuffer_get_length(bufferevent_get_output(connection_.get())) == 0) {
    return Progress::written;
  }
  return progress_;
}

// A delayed loop runs this timer before it reports a connection made in time, because it handles a few dozen
// connections per iteration. If the socket is connected or has failed, the loop reports it in the next one.
void Exchange::arm_connect_timeout() {
  timeout_ = pool_.loop_.at(pool_.loop_.now() + pool_.limits_.connect_timeout, [this] {
    pollfd connecting{bufferevent_getfd(connection_.get()), POLLOUT, 0};
    poll(&connecting, 1, 0) > 0 ? arm_connect_timeout() : finish(ExchangeEnd::not_sent);
  });
}

void Exchange::on_connected() {
  timeout_.reset();
  if (!events_.may_write()) return finish(ExchangeEnd::not_sent);
  progress_ = Progress::unwritten;
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
  const std::string head = std::exchange(head_, {})();
  const std::size_t body_size = body_ != nullptr ? body_->size() : 0;
  const std::size_t written = write_now(head);
  if (written == head.size() + body_size) {
    body_.reset();
    return on_output_written();  // last: it may destroy this object
  }
  if (written < head.size())
    bufferevent_write(connection_.get(), head.data() + written, head.size() - written);
  const std::size_t written_of_body = written - std::min(written, head.size());
  if (written_of_body < body_size) queue_body(written_of_body);
}

// Writes as much of the request as the kernel takes, without waiting for the loop's next iteration: a delayed
// loop would write it after the remaining time that its head states. Returns the number of bytes written. An
// error is left to libevent, which reports it on the connection.
std::size_t Exchange::write_now(const std::string& head) const {
  iovec parts[] = {{const_cast<char*>(head.data()), head.size()}, {nullptr, 0}};
  if (body_ != nullptr) parts[1] = {const_cast<char*>(body_->data()), body_->size()};
  const ssize_t written = writev(bufferevent_getfd(connection_.get()), parts, int(std::size(parts)));
  return written < 0 ? 0 : std::size_t(written);
}

// Adds the body from `offset` on by reference: a copy of several megabytes for each attempt would dominate
// memory use.
void Exchange::queue_body(std::size_t offset) {
  using Owner = std::shared_ptr<const std::string>;
  const Owner& body = *new Owner(std::move(body_));
  const auto release = [](const void*, size_t, void* owner) { delete static_cast<Owner*>(owner); };
  evbuffer* output = bufferevent_get_output(connection_.get());
  if (evbuffer_add_reference(output, body->data() + offset, body->size() - offset, release,
                             const_cast<Owner*>(&body)) != 0) {
    delete &body;
    throw std::runtime_error("cannot append the request body to the output buffer");
  }
}

void Exchange::pause(bool on) {
  if (connection_ == nullptr) return;
  if (on) {
    bufferevent_disable(connection_.get(), EV_READ);
  } else {
    bufferevent_enable(connection_.get(), EV_READ);
  }
}

bool Exchange::has_unread_input() const {
  if (connection_ == nullptr) return false;
  int unread = 0;
  ioctl(bufferevent_getfd(connection_.get()), FIONREAD, &unread);
  return unread > 0 || evbuffer_get_length(bufferevent_get_input(connection_.get())) > 0;
}

void Exchange::on_output_written() {
  if (progress_ != Progress::unwritten) return;
  progress_ = Progress::written;
  events_.on_written();  // last: it may destroy this object
}

void Exchange::on_readable() {
  evbuffer* input = bufferevent_get_input(connection_.get());
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  if (reused_ && !response_started_) pool_.record_reuse(true);
  response_started_ = true;
  std::string body;
  const std::size_t used = parser_.feed(bytes, body);
  if (parser_.state() == ResponseParser::State::bad) return finish(ExchangeEnd::malformed);
  const bool head = parser_.has_head();
  if (head && parser_.status() != 200 && !timeout_) {
    const core::Duration limit = parser_.status() == kPrefillDone ? kPrefillBodyTimeout : kBodyTimeout;
    timeout_ = pool_.loop_.at(pool_.loop_.now() + limit, [this] { finish(ExchangeEnd::timed_out); });
  }
  // The response came before the whole request was sent. The rest must not be read as the next request.
  const bool early = progress() <= Progress::unwritten;
  if (parser_.has_head() && progress_ < Progress::head) {
    const DestructionWatch watch(destruction_);
    if (!early) on_output_written();
    if (watch.destroyed()) return;
    progress_ = Progress::head;
  }
  if (!body.empty()) {
    progress_ = Progress::streaming;
    const DestructionWatch watch(destruction_);
    events_.on_body(std::move(body));
    if (watch.destroyed()) return;
  }
  if (parser_.state() != ResponseParser::State::done) {
    update_memory();
    return pool_.memory_.enforce();
  }
  if (pool_.may_reuse(true) && parser_.keep_alive() && used == bytes.size() && !early) {
    pool_.add_idle(address_, std::move(connection_), is_attempt_);
  }
  finish(ExchangeEnd::complete);
}

void Exchange::update_memory() {
  const std::size_t answer = events_.held_bytes();
  const std::size_t held = parser_.held_bytes() + answer;
  // A stream that is passed on as it comes is not given up for its head.
  memory_.set(held, answer > 0 || !parser_.has_head() ? held : 0, pool_.loop_.now());
}

// Another exchange may be on the call stack, so the end is reported from the loop.
void Exchange::give_up() {
  progress_ = progress();
  close();
  parser_ = ResponseParser();
  events_.release_held_bytes();
  timeout_ = pool_.loop_.at(pool_.loop_.now(), [this] { finish(ExchangeEnd::timed_out); });
}

void Exchange::on_closed(short events) {
  // Input that arrived together with the close is read first.
  if (connection_ != nullptr && evbuffer_get_length(bufferevent_get_input(connection_.get())) > 0) {
    return on_readable();
  }
  if (reused_ && !response_started_) pool_.record_reuse(false);
  closed_here_ = false;
  if (progress_ == Progress::not_connected) return finish(ExchangeEnd::not_sent);
  if ((events & BEV_EVENT_EOF) == 0) return finish(ExchangeEnd::reset);
  finish(parser_.finish_at_close() ? ExchangeEnd::complete : ExchangeEnd::closed);
}

// Must be called last: the event handler may destroy this exchange.
void Exchange::finish(ExchangeEnd end) {
  const bool complete = end == ExchangeEnd::complete;
  if (complete) closed_here_ = false;
  progress_ = complete ? Progress::ended : progress();
  close();
  // An exchange that has ended can't be given up any more.
  memory_.set(0, 0, pool_.loop_.now());
  events_.on_end(end);
}

void Exchange::close() {
  timeout_.reset();
  if (connection_ == nullptr) return;
  connection_.reset();
  --pool_.open_;
}

// ---- InstancePool ----

InstancePool::~InstancePool() = default;

// A server may close an idle connection just as the next request is written, or an intermediary may reset it,
// and that request may have been executed. After such failures, requests that must not run twice use new
// connections; after many, all requests do, until the counts have decayed. New connections cost the instances
// work and are avoided otherwise.
bool InstancePool::may_reuse(bool failure_harmless) const {
  const double decay = std::exp(-double((loop_.now() - reuse_updated_).count()) / kReuseDecayUs);
  const double failures = reuse_failures_ * decay;
  return failure_harmless
             ? failures <= kMaxFailureShare * (reuse_successes_ * decay + failures + kInitialSuccesses)
             : failures < kMaxRecentFailures;
}

void InstancePool::record_reuse(bool success) {
  const double decay = std::exp(-double((loop_.now() - reuse_updated_).count()) / kReuseDecayUs);
  reuse_successes_ = reuse_successes_ * decay + (success ? 1.0 : 0.0);
  reuse_failures_ = reuse_failures_ * decay + (success ? 0.0 : 1.0);
  reuse_updated_ = loop_.now();
}

BufferEventPtr InstancePool::take_idle(const std::string& address, bool failure_harmless) {
  const auto it = idle_.find(address);
  if (it == idle_.end()) return nullptr;
  std::list<Idle>& list = it->second;
  const core::Time now = loop_.now();
  for (auto idle = list.begin(); idle != list.end();) {
    const bool quarantined = idle->answered_attempt || !failure_harmless;
    if (quarantined && now < idle->answered + kQuarantine) {
      ++idle;
      continue;
    }
    BufferEventPtr connection = std::move(idle->connection);
    idle = list.erase(idle);
    bufferevent_set_timeouts(connection.get(), nullptr, nullptr);
    // Also cancels an idle timeout that fired in this loop iteration and would end the request.
    bufferevent_disable(connection.get(), EV_READ);
    bufferevent_enable(connection.get(), EV_READ);
    if (open_without_input(connection.get())) return connection;
    --open_;
  }
  return nullptr;
}

BufferEventPtr InstancePool::connect(const std::string& address) {
  const auto to = config::Address::parse(address);
  if (!to) return nullptr;
  if (open_ >= limits_.connections) {
    // Closes an idle connection of another instance to make room; without one, the attempt fails.
    for (auto& [other, list] : idle_) {
      if (list.empty()) continue;
      list.pop_back();
      --open_;
      break;
    }
    if (open_ >= limits_.connections) return nullptr;
  }
  BufferEventPtr connection(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  if (!connection) return nullptr;
  sockaddr_in ip{};
  ip.sin_family = AF_INET;
  ip.sin_port = htons(to->port);
  inet_pton(AF_INET, to->host.c_str(), &ip.sin_addr);
  if (bufferevent_socket_connect(connection.get(), reinterpret_cast<sockaddr*>(&ip), sizeof ip) != 0) {
    return nullptr;
  }
  const int on = 1;
  setsockopt(bufferevent_getfd(connection.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  // Keeps a long request from counting as written in the kernel's buffer while the instance reads nothing.
  setsockopt(bufferevent_getfd(connection.get()), SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes,
             sizeof kSendBufferBytes);
  ++open_;
  return connection;
}

void InstancePool::add_idle(const std::string& address, BufferEventPtr connection, bool answered_attempt) {
  std::list<Idle>& list = idle_[address];
  Idle& idle = list.emplace_front(Idle{this, address, std::move(connection), loop_.now(), answered_attempt});
  const auto us = limits_.idle_timeout.count();
  const timeval time{static_cast<time_t>(us / 1'000'000), static_cast<suseconds_t>(us % 1'000'000)};
  bufferevent_set_timeouts(idle.connection.get(), &time, nullptr);
  bufferevent_setcb(
      idle.connection.get(), [](bufferevent*, void* self) { on_idle_event(static_cast<Idle*>(self)); },
      nullptr, [](bufferevent*, short, void* self) { on_idle_event(static_cast<Idle*>(self)); }, &idle);
  bufferevent_enable(idle.connection.get(), EV_READ);
}

// Called if the server closed the connection, if it was idle too long, or if unrequested bytes arrived.
void InstancePool::on_idle_event(Idle* idle) {
  InstancePool& pool = *idle->pool;
  pool.open_ -= pool.idle_[idle->address].remove_if([idle](const Idle& other) { return &other == idle; });
}

void InstancePool::close_idle(const std::string& address) {
  const auto it = idle_.find(address);
  if (it == idle_.end()) return;
  open_ -= it->second.size();
  idle_.erase(it);
}

}  // namespace bankmux::net
