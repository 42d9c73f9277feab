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
};
constexpr std::pair<Phase, const char*> kPhaseNames[] = {{Phase::silent, "silent"},
                                                         {Phase::idle, "idle"},
                                                         {Phase::reading, "reading"},
                                                         {Phase::answering, "answering"},
                                                         {Phase::ending, "ending"}};
constexpr EvictionRule kEvictionOrder[] = {
    {Phase::ending, 100ms}, {Phase::idle, 2s}, {Phase::silent, 100ms}, {Phase::reading, 1s}};

}  // namespace

HttpServer::HttpServer(Loop& loop, const Endpoint& endpoint, Handler handler, ServerLimits limits,
                       ServerHooks hooks)
    : loop_(loop),
      handler_(std::move(handler)),
      limits_(limits),
      hooks_(std::move(hooks)),
      own_socket_(std::holds_alternative<std::string>(endpoint)) {
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
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener* listener, void*) {
    if (accept_error_is_transient(EVUTIL_SOCKET_ERROR())) return;
    log::write("server", "cannot accept a connection");
    evconnlistener_disable(listener);
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
  evconnlistener_disable(listener_.get());
  sweep_timer_ = loop_.at(loop_.now() + kSweepIntervalWhenFull, [this] { sweep(); });
}

// Closes one connection to make room: the oldest in the first phase of kEvictionOrder that has a candidate.
bool HttpServer::evict_connection() {
  const core::Time now = loop_.now();
  HttpConnection* candidate = nullptr;
  std::size_t rank = std::size(kEvictionOrder);
  for (const auto& [connection, owner] : connections_) {
    for (std::size_t i = 0; i < std::size(kEvictionOrder) && i <= rank; ++i) {
      if (connection->phase() != kEvictionOrder[i].phase || connection->age(now) < kEvictionOrder[i].after)
        continue;
      // Unread bytes may be a request that must be answered.
      const bool is_idle = kEvictionOrder[i].phase == Phase::idle || kEvictionOrder[i].phase == Phase::silent;
      if (is_idle && !connection->has_no_unread_input()) continue;
      if (i == rank && connection->age(now) <= candidate->age(now)) continue;
      candidate = connection;
      rank = i;
    }
  }
  if (candidate != nullptr) close(*candidate);
  return candidate != nullptr;
}

// Spares small requests: the largest holder pays, whichever connection has exceeded the limit.
void HttpServer::limit_held_bytes() {
  while (held_bytes_ > limits_.held_bytes) {
    HttpConnection* largest = nullptr;
    for (const auto& [connection, owner] : connections_) {
      if (largest == nullptr || connection->sheddable_bytes() > largest->sheddable_bytes())
        largest = connection;
    }
    if (largest == nullptr || largest->sheddable_bytes() == 0) return;
    largest->shed_input();
  }
}

// Times out connections whose phase has lasted too long, and re-enables the listener when there is room.
void HttpServer::sweep() {
  const core::Time now = loop_.now();
  std::vector<HttpConnection*> timed_out;
  for (const auto& [connection, owner] : connections_) {
    if (connection->timed_out(now)) timed_out.push_back(connection);
  }
  for (HttpConnection* connection : timed_out) connection->on_timeout();
  const bool room = connections_.size() < limits_.connections || evict_connection();
  if (room && listener_) evconnlistener_enable(listener_.get());
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
