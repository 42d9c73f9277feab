#include "net/instances/instance_pool.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace bankmux::net {

using namespace std::chrono_literals;
using core::Progress;

namespace {

constexpr int kSendBuffer = 32 * 1024;
// From a head's first byte to its last. Heads come whole; one that does not end would hold its request up to
// the deadline.
constexpr core::Duration kHeadTime{500'000};

// Quarantine of a pooled connection after a response. An instance that answers twice does so within some
// milliseconds, and a second answer, read after the next request has gone out there, would be taken for that
// one's. After a stream it holds for all: another's events would reach the client. After any other answer it
// holds for those alone that a stray word does harm: a late second refusal would prove that they never ran,
// while they run. The rest follow at once, for new connections cost busy instances dear.
constexpr core::Duration kQuarantine = 50ms;
// From an answer's head to its end where it is no stream: nobody waits for the rest of a refusal.
constexpr core::Duration kRestTime{500'000};

// Nothing unread and no end: what the server closed meanwhile must not get a request.
bool still_quiet(bufferevent* connection) {
  char byte = 0;
  const ssize_t got = recv(bufferevent_getfd(connection), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// How far kept connections are trusted.
constexpr double kKeptFade = 20e6;     // microseconds in which what was seen fades
constexpr double kMostBroken = 0.1;    // share that breaks, up to which repeatable requests use them
constexpr double kFirstGood = 10.0;    // requests taken to have gone well before anything was seen
constexpr double kRestOfBroken = 0.1;  // of one break: after 46 s the others use them again

}  // namespace

// ---- Exchange ----

Exchange::Exchange(InstancePool& pool, std::string address, HeadWriter head,
                   std::shared_ptr<const std::string> body, core::ConnectionTerms terms, Events& events)
    : pool_(pool),
      address_(std::move(address)),
      head_(std::move(head)),
      body_(std::move(body)),
      events_(events) {
  attempt_ = body_ != nullptr;
  if (!terms.fresh && pool_.trusts_kept(terms.trouble_harmless)) {
    connection_ = pool_.take_idle(address_, terms.trouble_harmless);
  }
  reused_ = connection_ != nullptr;
  if (!reused_) connection_ = pool_.connect(address_);
  if (connection_ == nullptr || reused_) {
    // Told from the loop, for nothing may call back from here.
    limit_ = pool_.loop_.at(pool_.loop_.now(), [this] { reused_ ? connected() : end(false); });
  } else {
    limit_dial();
  }
  if (connection_ == nullptr) return;
  watch();
}

Exchange::Exchange(InstancePool& pool, std::string address, int descriptor,
                   const ResponseParser::Place& place, Events& events)
    : pool_(pool),
      address_(std::move(address)),
      events_(events),
      connection_(bufferevent_socket_new(pool.loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE)),
      attempt_(true),
      heard_(true),
      progress_(Progress::streaming) {
  if (!connection_) {
    evutil_closesocket(descriptor);
    throw std::runtime_error("no buffer for a connection");
  }
  ++pool_.open_;
  if (!parser_.go_on_with_stream(place)) {
    limit_ = pool_.loop_.at(pool_.loop_.now(), [this] { end(false); });
    return;
  }
  watch();
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
}

int Exchange::passable() const {
  if (connection_ == nullptr || progress_ != Progress::streaming || !parser_.place()) return -1;
  const bool empty = evbuffer_get_length(bufferevent_get_input(connection_.get())) == 0 &&
                     evbuffer_get_length(bufferevent_get_output(connection_.get())) == 0;
  return empty ? bufferevent_getfd(connection_.get()) : -1;
}

void Exchange::watch() {
  bufferevent_setcb(
      connection_.get(),
      [](bufferevent*, void* self) {
        guarded("instance", [self] { static_cast<Exchange*>(self)->readable(); });
      },
      [](bufferevent*, void* self) {
        guarded("instance", [self] { static_cast<Exchange*>(self)->written(); });
      },
      [](bufferevent*, short what, void* self) {
        guarded("instance", [self, what] {
          auto* exchange = static_cast<Exchange*>(self);
          if (what & BEV_EVENT_CONNECTED) {
            exchange->connected();
          } else {
            exchange->closed();
          }
        });
      },
      this);
}

Exchange::~Exchange() {
  if (destroyed_ != nullptr) *destroyed_ = true;
  close();
}

Progress Exchange::progress() const {
  // The last byte may be out though its callback has not come yet.
  if (progress_ == Progress::unwritten && connection_ != nullptr &&
      evbuffer_get_length(bufferevent_get_output(connection_.get())) == 0) {
    return Progress::written;
  }
  return progress_;
}

// A loop that was held up hears of a limit before it hears of the connection that came up within it, for it
// is told of a few dozen connections in one turn. What is up, or has failed, is told in the next.
void Exchange::limit_dial() {
  limit_ = pool_.loop_.at(pool_.loop_.now() + pool_.limits_.connect, [this] {
    pollfd dialled{bufferevent_getfd(connection_.get()), POLLOUT, 0};
    poll(&dialled, 1, 0) > 0 ? limit_dial() : end(false);
  });
}

void Exchange::connected() {
  limit_.reset();
  if (!events_.may_write()) return end(false);
  progress_ = Progress::unwritten;
  bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
  const std::string head = std::exchange(head_, {})();
  bufferevent_write(connection_.get(), head.data(), head.size());
  if (body_ != nullptr && !body_->empty()) write_body();
}

// By reference: with bodies of megabytes a copy for each attempt would be the largest thing in memory.
void Exchange::write_body() {
  using Owner = std::shared_ptr<const std::string>;
  const Owner& body = *new Owner(std::move(body_));
  const auto release = [](const void*, size_t, void* owner) { delete static_cast<Owner*>(owner); };
  evbuffer* output = bufferevent_get_output(connection_.get());
  if (evbuffer_add_reference(output, body->data(), body->size(), release, const_cast<Owner*>(&body)) != 0) {
    delete &body;
    throw std::runtime_error("no room for a request's body");
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

void Exchange::written() {
  if (progress_ != Progress::unwritten) return;
  progress_ = Progress::written;
  events_.on_written();
}

void Exchange::readable() {
  evbuffer* input = bufferevent_get_input(connection_.get());
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  if (reused_ && !heard_) pool_.note_kept(true);
  heard_ = true;
  std::string body;
  const std::size_t used = parser_.feed(bytes, body);
  if (parser_.state() == ResponseParser::State::bad) return end(false);
  const bool head = parser_.has_head();
  if (head ? parser_.status() != 200 : parser_.within_head()) {
    if (!limit_ || (head && progress_ < Progress::head)) {
      limit_ = pool_.loop_.at(pool_.loop_.now() + (head ? kRestTime : kHeadTime), [this] { end(false); });
    }
  } else {
    limit_.reset();
  }
  // An answer before the whole request: the rest of it must not be taken for the next one's.
  const bool early = progress() <= Progress::unwritten;
  if (parser_.has_head() && progress_ < Progress::head) {
    if (!early) written();
    progress_ = Progress::head;
  }
  if (!body.empty()) {
    progress_ = Progress::streaming;
    bool destroyed = false;
    destroyed_ = &destroyed;
    events_.on_body(std::move(body));
    if (destroyed) return;
    destroyed_ = nullptr;
  }
  if (parser_.state() != ResponseParser::State::done) return;
  if (pool_.trusts_kept(true) && parser_.keep_alive() && used == bytes.size() && !early) {
    pool_.keep(address_, std::move(connection_), attempt_ && parser_.status() == 200);
  }
  end(true);
}

void Exchange::closed() {
  // What came together with the end is read first.
  if (connection_ != nullptr && evbuffer_get_length(bufferevent_get_input(connection_.get())) > 0) {
    return readable();
  }
  if (reused_ && !heard_) pool_.note_kept(false);
  closed_here_ = false;
  end(parser_.finish());
}

// Last: the events may destroy this exchange.
void Exchange::end(bool whole) {
  if (whole) closed_here_ = false;
  progress_ = whole ? Progress::ended : progress();
  close();
  events_.on_end(whole);
}

void Exchange::close() {
  limit_.reset();
  if (connection_ == nullptr) return;
  connection_.reset();
  --pool_.open_;
}

// ---- InstancePool ----

InstancePool::~InstancePool() = default;

// A server may close a kept connection just as the next request is written, or something in between may reset
// it: that request may have run. Where this happens, one that must not run twice takes a new connection, and
// where it happens often all do, until what was seen has faded. New ones cost the instances work, so not
// without need.
bool InstancePool::trusts_kept(bool trouble_harmless) const {
  const double fade = std::exp(-double((loop_.now() - kept_at_).count()) / kKeptFade);
  const double bad = kept_bad_ * fade;
  return trouble_harmless ? bad <= kMostBroken * (kept_good_ * fade + bad + kFirstGood) : bad < kRestOfBroken;
}

void InstancePool::note_kept(bool lived) {
  const double fade = std::exp(-double((loop_.now() - kept_at_).count()) / kKeptFade);
  kept_good_ = kept_good_ * fade + (lived ? 1.0 : 0.0);
  kept_bad_ = kept_bad_ * fade + (lived ? 0.0 : 1.0);
  kept_at_ = loop_.now();
}

BufferEventPtr InstancePool::take_idle(const std::string& address, bool trouble_harmless) {
  const auto it = idle_.find(address);
  if (it == idle_.end()) return nullptr;
  std::list<Idle>& list = it->second;
  const core::Time now = loop_.now();
  for (auto idle = list.begin(); idle != list.end();) {
    const bool quarantined = idle->answered_stream || !trouble_harmless;
    if (quarantined && now < idle->answered + kQuarantine) {
      ++idle;
      continue;
    }
    BufferEventPtr connection = std::move(idle->connection);
    idle = list.erase(idle);
    bufferevent_set_timeouts(connection.get(), nullptr, nullptr);
    // Taken back with them: a timeout that struck in this very turn of the loop, and would end the request.
    bufferevent_disable(connection.get(), EV_READ);
    bufferevent_enable(connection.get(), EV_READ);
    if (still_quiet(connection.get())) return connection;
    --open_;
  }
  return nullptr;
}

BufferEventPtr InstancePool::connect(const std::string& address) {
  const auto to = config::Address::parse(address);
  if (!to) return nullptr;
  if (open_ >= limits_.connections) {
    // Another instance's idle connection makes room; with none the attempt has no place.
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
  // A long request must not lie whole in the kernel and count as written while the instance takes nothing.
  setsockopt(bufferevent_getfd(connection.get()), SOL_SOCKET, SO_SNDBUF, &kSendBuffer, sizeof kSendBuffer);
  ++open_;
  return connection;
}

void InstancePool::keep(const std::string& address, BufferEventPtr connection, bool answered_stream) {
  std::list<Idle>& list = idle_[address];
  Idle& idle = list.emplace_front(Idle{this, address, std::move(connection), loop_.now(), answered_stream});
  const auto us = limits_.idle.count();
  const timeval time{static_cast<time_t>(us / 1'000'000), static_cast<suseconds_t>(us % 1'000'000)};
  bufferevent_set_timeouts(idle.connection.get(), &time, nullptr);
  bufferevent_setcb(
      idle.connection.get(), [](bufferevent*, void* self) { closed_idle(static_cast<Idle*>(self)); }, nullptr,
      [](bufferevent*, short, void* self) { closed_idle(static_cast<Idle*>(self)); }, &idle);
  bufferevent_enable(idle.connection.get(), EV_READ);
}

// Ended by the server, idle for too long, or sent something that nobody asked for.
void InstancePool::closed_idle(Idle* idle) {
  InstancePool& pool = *idle->pool;
  pool.open_ -= pool.idle_[idle->address].remove_if([idle](const Idle& other) { return &other == idle; });
}

void InstancePool::drop(const std::string& address) {
  const auto it = idle_.find(address);
  if (it == idle_.end()) return;
  open_ -= it->second.size();
  idle_.erase(it);
}

}  // namespace bankmux::net
