#include "net/http/http_server.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <iterator>
#include <vector>

#include "log/log.hpp"
#include "net/http/http_connection.hpp"

namespace bankmux::net {

using namespace std::chrono_literals;
using Phase = HttpConnection::Phase;

namespace {

constexpr core::Duration kSweepInterval = 100ms;
constexpr core::Duration kSweepIntervalWhenFull = 10ms;
constexpr int kMaxAcceptFailures = 1024;  // consecutive failed accepts; twice a listener's backlog
// Order in which connections are closed when room is needed, with the minimum time in the phase. An idle
// connection may be closed after 2 s without a request; clients that connect for a request send it promptly
// and completely.
struct EvictionRule {
  Phase phase;
  core::Duration after;
  bool since_last_input = false;  // rather than since the start of the phase
};
constexpr std::pair<Phase, const char*> kPhaseNames[] = {{Phase::silent, "silent"},
                                                         {Phase::idle, "idle"},
                                                         {Phase::reading, "reading"},
                                                         {Phase::answering, "answering"},
                                                         {Phase::ending, "ending"}};
// Longer than a retransmission of a lost packet takes (200 ms at least).
constexpr core::Duration kStalledRequestTime = 300ms;
constexpr EvictionRule kEvictionOrder[] = {{Phase::ending, 100ms},
                                           {Phase::idle, 2s},
                                           {Phase::silent, 100ms},
                                           {Phase::reading, kStalledRequestTime, true},
                                           {Phase::reading, 1s}};

// How long the rule has applied to the connection beyond its minimum time; negative: not yet, or not at all.
core::Duration eligible_for(const EvictionRule& rule, const HttpConnection& connection, core::Time now) {
  constexpr core::Duration kNotEligible{-1};
  if (connection.phase() != rule.phase) return kNotEligible;
  const core::Duration time =
      rule.since_last_input ? connection.time_without_input(now) : connection.age(now);
  if (time < rule.after) return kNotEligible;
  // Unread bytes may be a request that must be answered, or the rest of one.
  const bool reading_long = rule.phase == Phase::reading && !rule.since_last_input;
  const bool input_counts = rule.phase != Phase::ending && !reading_long;
  return input_counts && !connection.has_no_unread_input() ? kNotEligible : time - rule.after;
}

}  // namespace

HttpServer::HttpServer(Loop& loop, const Endpoint& endpoint, Handler handler, ServerLimits limits,
                       ServerHooks hooks)
    : loop_(loop),
      handler_(std::move(handler)),
      limits_(limits),
      hooks_(std::move(hooks)),
      own_socket_(std::holds_alternative<std::string>(endpoint)),
      memory_(limits.held_bytes),
      last_sweep_(loop.now()),
      sweep_before_(last_sweep_) {
  if (limits_.discard_bytes_per_s > 0) {
    const std::size_t rate = limits_.discard_bytes_per_s;
    discard_rate_.reset(ev_token_bucket_cfg_new(rate, rate, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, nullptr));
  }
  const evconnlistener_cb accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
    run_guarded("server", [=] { static_cast<HttpServer*>(self)->accept(socket); });
  };
  const auto* address = std::get_if<std::string>(&endpoint);
  listener_ = address != nullptr ? loop.listen(*address, accepted, this)
                                 : loop.listen_on(std::get<int>(endpoint), accepted, this);
  // Out of descriptors, libevent would retry without a pause, so the listener is disabled until the next
  // sweep.
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* self) {
    if (accept_error_is_transient(EVUTIL_SOCKET_ERROR())) return;
    log::write("server", "cannot accept a connection");
    static_cast<HttpServer*>(self)->pause_accepting();
  });
  sweep();
}

HttpServer::~HttpServer() = default;

void HttpServer::accept(evutil_socket_t socket) {
  auto connection = std::make_unique<HttpConnection>(*this, socket);
  connections_.emplace(connection.get(), std::move(connection));
  if (connections_.size() < limits_.connections || evict_connection()) return;
  // The next connection waits in the kernel's backlog until there is room. Closing it at once would lose it,
  // and most connections that fill the limit end soon.
  log::write("server", "connection limit reached; connections by phase: " + count_by_phase());
  pause_accepting();
  sweep_timer_ = loop_.at(loop_.now() + kSweepIntervalWhenFull, [this] { sweep(); });
}

void HttpServer::pause_accepting() {
  evconnlistener_disable(listener_.get());
  accepting_ = false;
  if (!backlog_since_) backlog_since_ = loop_.now();
}

// Closes one connection to make room: the oldest in the first phase of kEvictionOrder that has a candidate.
bool HttpServer::evict_connection() {
  const core::Time now = loop_.now();
  HttpConnection* candidate = nullptr;
  std::size_t rank = std::size(kEvictionOrder);
  core::Duration longest{0};
  for (const auto& [connection, owner] : connections_) {
    for (std::size_t i = 0; i < std::size(kEvictionOrder) && i <= rank; ++i) {
      const core::Duration time = eligible_for(kEvictionOrder[i], *connection, now);
      if (time < core::Duration{0} || (i == rank && time <= longest)) continue;
      candidate = connection;
      rank = i;
      longest = time;
    }
  }
  if (candidate != nullptr) close(*candidate);
  return candidate != nullptr;
}

// Times out connections whose phase has lasted too long, and re-enables the listener when there is room.
void HttpServer::sweep() {
  const core::Time now = loop_.now();
  sweep_before_ = std::exchange(last_sweep_, now);
  std::vector<HttpConnection*> timed_out;
  for (const auto& [connection, owner] : connections_) {
    if (connection->timed_out(now)) timed_out.push_back(connection);
  }
  for (HttpConnection* connection : timed_out) connection->on_timeout();
  const bool room = connections_.size() < limits_.connections || evict_connection();
  if (room && listener_) evconnlistener_enable(listener_.get());
  // Between two sweeps without a pause, the loop accepts everything that waits.
  if (std::exchange(accepting_, room)) backlog_since_.reset();
  sweep_timer_ = loop_.at(now + (room ? kSweepInterval : kSweepIntervalWhenFull), [this] { sweep(); });
}

std::string HttpServer::count_by_phase() const {
  std::map<Phase, int> count;
  for (const auto& [connection, owner] : connections_) ++count[connection->phase()];
  std::string text;
  for (const auto& [phase, name] : kPhaseNames) {
    text += (text.empty() ? "" : ", ") + std::to_string(count[phase]) + ' ' + name;
  }
  return text;
}

// Connections in the kernel's backlog would be reset when the listener closes, so they are accepted first.
bool HttpServer::stop_listening() {
  if (listener_ && own_socket_ && !accept_pending()) return false;
  listener_.reset();
  return true;
}

// Accepts until the backlog is empty. False if connections had to be left there.
bool HttpServer::accept_pending() {
  int failures = 0;
  while (connections_.size() < limits_.connections && failures < kMaxAcceptFailures) {
    const int socket =
        accept4(evconnlistener_get_fd(listener_.get()), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket >= 0) {
      accept(socket);
      continue;
    }
    const int error = errno;
    if (error == EAGAIN || error == EWOULDBLOCK) return true;
    if (!accept_error_is_transient(error)) return false;
    ++failures;
  }
  return false;
}

void HttpServer::close_idle(core::Duration silent) {
  const core::Time now = loop_.now();
  std::vector<HttpConnection*> idle;
  for (const auto& [connection, owner] : connections_) {
    const bool is_idle = connection->phase() == Phase::idle ||
                         (connection->phase() == Phase::silent && connection->age(now) >= silent);
    if (is_idle && connection->has_no_unread_input()) idle.push_back(connection);
  }
  for (HttpConnection* connection : idle) connection->shut_down_unread();
}

void HttpServer::close(HttpConnection& connection) { connections_.erase(&connection); }

}  // namespace bankmux::net
