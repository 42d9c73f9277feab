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

constexpr core::Duration kLookEvery = 100ms;
constexpr core::Duration kLookForRoom = 10ms;
constexpr int kMostAcceptFailures = 1024;  // in a row of accepts; twice a listener's queue
// When room is needed, in this order. A client may find its connection closed after 2 s without a request;
// those who connect to ask do so at once, and whole.
struct ForRoom {
  Phase phase;
  core::Duration after;
};
constexpr std::pair<Phase, const char*> kPhaseNames[] = {{Phase::silent, "silent"},
                                                         {Phase::idle, "idle"},
                                                         {Phase::reading, "reading"},
                                                         {Phase::answering, "answering"},
                                                         {Phase::ending, "ending"}};
constexpr ForRoom kForRoom[] = {
    {Phase::ending, 100ms}, {Phase::idle, 2s}, {Phase::silent, 100ms}, {Phase::reading, 1s}};

}  // namespace

HttpServer::HttpServer(Loop& loop, const Place& place, Handler handler, ServerLimits limits,
                       ServerHooks hooks)
    : loop_(loop),
      handler_(std::move(handler)),
      limits_(limits),
      hooks_(std::move(hooks)),
      own_socket_(std::holds_alternative<std::string>(place)) {
  if (limits_.throw_away_rate > 0) {
    const std::size_t rate = limits_.throw_away_rate;
    throw_away_rate_.reset(
        ev_token_bucket_cfg_new(rate, rate, EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, nullptr));
  }
  const evconnlistener_cb accepted = [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
    guarded("server", [=] { static_cast<HttpServer*>(self)->accept(socket); });
  };
  const auto* address = std::get_if<std::string>(&place);
  listener_ = address != nullptr ? loop.listen(*address, accepted, this)
                                 : loop.adopt(std::get<int>(place), accepted, this);
  // Out of descriptors, libevent would try again without a pause: the listener rests until the next look.
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener* listener, void*) {
    if (accept_error_is_transient(EVUTIL_SOCKET_ERROR())) return;
    log::write("server", "cannot accept a connection");
    evconnlistener_disable(listener);
  });
  look();
}

HttpServer::~HttpServer() = default;

void HttpServer::accept(evutil_socket_t socket) {
  auto connection = std::make_unique<HttpConnection>(*this, socket);
  connections_.emplace(connection.get(), std::move(connection));
  if (connections_.size() < limits_.connections || make_room()) return;
  // The next one waits in the kernel's queue until there is room: closed at once it would be lost, and most
  // of those that fill the room are gone soon.
  log::write("server", "no room for more connections; held: " + census());
  evconnlistener_disable(listener_.get());
  look_again_ = loop_.at(loop_.now() + kLookForRoom, [this] { look(); });
}

// Room for one more: the connection that has been idle for longest, else silent, else half way through its
// request.
bool HttpServer::make_room() {
  const core::Time now = loop_.now();
  HttpConnection* victim = nullptr;
  std::size_t rank = std::size(kForRoom);
  for (const auto& [connection, owner] : connections_) {
    for (std::size_t i = 0; i < std::size(kForRoom) && i <= rank; ++i) {
      if (connection->phase() != kForRoom[i].phase || connection->age(now) < kForRoom[i].after) continue;
      // What lies unread is a request that is still to be answered.
      const bool rests = kForRoom[i].phase == Phase::idle || kForRoom[i].phase == Phase::silent;
      if (rests && !connection->quiet()) continue;
      if (i == rank && connection->age(now) <= victim->age(now)) continue;
      victim = connection;
      rank = i;
    }
  }
  if (victim != nullptr) close(*victim);
  return victim != nullptr;
}

// Ends what has taken too long.
void HttpServer::look() {
  const core::Time now = loop_.now();
  std::vector<HttpConnection*> overdue;
  for (const auto& [connection, owner] : connections_) {
    if (connection->overdue(now)) overdue.push_back(connection);
  }
  for (HttpConnection* connection : overdue) connection->time_out();
  const bool room = connections_.size() < limits_.connections || make_room();
  if (room && listener_) evconnlistener_enable(listener_.get());
  look_again_ = loop_.at(now + (room ? kLookEvery : kLookForRoom), [this] { look(); });
}

std::string HttpServer::census() const {
  std::map<Phase, int> count;
  for (const auto& [connection, owner] : connections_) ++count[connection->phase()];
  std::string text;
  for (const auto& [phase, name] : kPhaseNames) {
    text += (text.empty() ? "" : ", ") + std::to_string(count[phase]) + ' ' + name;
  }
  return text;
}

// A connection that the kernel has taken for us already would be reset with the listener: a client that came
// in the last moment gets its answer.
bool HttpServer::stop_listening() {
  if (listener_ && own_socket_ && !accept_waiting()) return false;
  listener_.reset();
  return true;
}

// Accepts until nothing waits. False where it had to leave some.
bool HttpServer::accept_waiting() {
  int failures = 0;
  while (connections_.size() < limits_.connections && failures < kMostAcceptFailures) {
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
    const bool rests = connection->phase() == Phase::idle ||
                       (connection->phase() == Phase::silent && connection->age(now) >= silent);
    if (rests && connection->quiet()) idle.push_back(connection);
  }
  for (HttpConnection* connection : idle) connection->end_resting();
}

void HttpServer::close(HttpConnection& connection) { connections_.erase(&connection); }

}  // namespace bankmux::net
