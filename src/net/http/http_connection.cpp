#include "net/http/http_connection.hpp"

#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace bankmux::net {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMostAhead = 64 * 1024;    // read ahead of the request in hand
constexpr std::size_t kMostPassed = 64 * 1024;   // unsent, of a stream that another process is to go on with
constexpr std::size_t kMuchUnread = 256 * 1024;  // of a stream, from which on its source is to wait
// Of a stream whose source does not wait: one event that is as long as may be, and what else came with it.
constexpr std::size_t kMostUnread = 4 * 1024 * 1024;
// From accept, or a later request's first byte, to the last byte of a request. Those who connect and say
// nothing, or half of it, hold a descriptor for no longer.
constexpr core::Duration kRequestTime = 2500ms;
constexpr core::Duration kIdleTime = 60s;
constexpr timeval kWriteTime{10, 0};  // for a client that reads nothing of its answer
// How long the end of a client is awaited after a last answer, see ServerLimits::most_thrown_away.
constexpr core::Duration kLinger = 500ms;
constexpr core::Duration kLingerAtEnd =
    100ms;  // the same where this process is about to end; some round trips

const char* reason(int status) {
  switch (status) {
    case 100:
      return "Continue";
    case 200:
      return "OK";
    case 204:
      return "No Content";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 415:
      return "Unsupported Media Type";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Status";  // an instance's own, handed on; its text means nothing by the standard
  }
}

}  // namespace

// ---- HttpConnection ----

HttpConnection::HttpConnection(HttpServer& server, evutil_socket_t socket)
    : server_(server),
      stream_(bufferevent_socket_new(server.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE)),
      parser_(server.limits_.most_body),
      since_(server.loop_.now()) {
  if (!stream_) {
    evutil_closesocket(socket);
    throw std::runtime_error("no buffer for a connection");
  }
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  evutil_make_socket_nonblocking(socket);
  bufferevent_setcb(
      stream_.get(),
      [](bufferevent*, void* self) {
        guarded("client", [=] { static_cast<HttpConnection*>(self)->read(); });
      },
      [](bufferevent*, void* self) {
        guarded("client", [=] { static_cast<HttpConnection*>(self)->drained(); });
      },
      [](bufferevent*, short, void* self) {
        guarded("client", [=] { static_cast<HttpConnection*>(self)->closed(); });
      },
      this);
  bufferevent_setwatermark(stream_.get(), EV_READ, 0, kMostAhead);
  bufferevent_set_timeouts(stream_.get(), nullptr, &kWriteTime);
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
}

HttpConnection::~HttpConnection() {
  give_back(counted_);
  if (incoming_ != nullptr) incoming_->lost();
}

void HttpConnection::enter(Phase phase) {
  phase_ = phase;
  since_ = server_.loop_.now();
}

bool HttpConnection::overdue(core::Time now) const {
  switch (phase_) {
    case Phase::silent:
      // What lies unread came in time, and a loop that was held up has not been told of it yet.
      return age(now) >= kRequestTime && quiet();
    case Phase::reading: {
      const std::size_t rate = server_.limits_.least_upload_rate;
      const auto more = rate > 0 ? core::Duration(counted_ * 1'000'000 / rate) : core::Duration{0};
      return age(now) >= kRequestTime + more;
    }
    case Phase::idle:
      return age(now) >= kIdleTime && quiet();
    case Phase::ending: {
      if (evbuffer_get_length(bufferevent_get_output(stream_.get())) > 0) return false;
      // Unread, the client's end is not told by the loop.
      if (unread_ && client_closed()) return true;
      return age(now) >= (server_.winding_down_ ? kLingerAtEnd : kLinger);
    }
    case Phase::answering:
      break;
  }
  return false;
}

bool HttpConnection::quiet() const {
  int unread = 0;
  ioctl(bufferevent_getfd(stream_.get()), FIONREAD, &unread);
  return unread == 0 && evbuffer_get_length(bufferevent_get_input(stream_.get())) == 0;
}

void HttpConnection::go_on(bool chunked, bool last, std::string_view unsent) {
  enter(Phase::answering);
  chunked_ = chunked;
  last_ = last;
  if (!unsent.empty()) write(unsent);
}

void HttpConnection::time_out() {
  if (phase_ == Phase::reading) return refuse(408);
  if (phase_ == Phase::ending) return server_.close(*this);
  end_resting();
}

void HttpConnection::end_resting() {
  unread_ = true;
  bufferevent_disable(stream_.get(), EV_READ);
  finish();
}

bool HttpConnection::client_closed() const {
  pollfd client{bufferevent_getfd(stream_.get()), POLLRDHUP, 0};
  return poll(&client, 1, 0) > 0;
}

void HttpConnection::read() {
  evbuffer* input = bufferevent_get_input(stream_.get());
  if (phase_ == Phase::ending) {
    const ServerLimits& limits = server_.limits_;
    thrown_away_ += evbuffer_get_length(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    const core::Time now = server_.loop_.now();
    // A client that is still sending will hear its answer only once it has ended.
    if (now - ended_ < limits.throw_away_for) since_ = now;
    if (thrown_away_ > limits.most_thrown_away) bufferevent_disable(stream_.get(), EV_READ);
    return;
  }
  // What comes while an answer is pending waits its turn, up to the watermark. There, reading would rest, and
  // the end of its client stay unseen behind these bytes: they are dropped, and this answer is the last.
  if (phase_ == Phase::answering) {
    if (evbuffer_get_length(input) < kMostAhead) return;
    last_ = true;
    thrown_away_ += evbuffer_get_length(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (thrown_away_ > server_.limits_.most_thrown_away) server_.close(*this);
    return;
  }
  if (evbuffer_get_length(input) == 0) return;
  if (phase_ == Phase::idle) enter(Phase::reading);
  phase_ = Phase::reading;
  const std::size_t size = evbuffer_get_length(input);
  const char* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  const bool had_head = parser_.state() != MessageParser::State::head;
  const std::size_t used = parser_.take({bytes, size}, body_);
  evbuffer_drain(input, used);
  if (parser_.state() == MessageParser::State::bad) return refuse(parser_.fault());
  // Guards memory: all bodies together, from their first byte until their request is answered.
  server_.body_bytes_ += body_.size() - counted_;
  counted_ = body_.size();
  if (server_.body_bytes_ > server_.limits_.body_bytes) return refuse(503, {{"Retry-After", "1"}});
  if (parser_.state() == MessageParser::State::done) return request_done();
  if (!had_head && parser_.state() == MessageParser::State::body && parser_.expects_continue()) {
    // Not asked to go on, the client hears its answer without having sent its body.
    if (server_.hooks_.wants && !server_.hooks_.wants(parser_)) return request_done(false);
    write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void HttpConnection::request_done(bool whole) {
  phase_ = Phase::answering;
  last_ = !parser_.keep_alive() || !whole;
  chunked_ = !parser_.old();
  bodyless_ = parser_.method() == "HEAD";
  server_.handler_(std::make_unique<Incoming>(
      *this, std::exchange(parser_, RequestParser(server_.limits_.most_body)), std::exchange(body_, {})));
}

// The request is not to be answered by any front.
void HttpConnection::refuse(int status, Headers more) {
  phase_ = Phase::answering;
  last_ = true;
  body_ = {};
  if (server_.limits_.one_fault && status != 503) status = 400;
  std::string text = std::string(reason(status)) + "\n";
  if (server_.hooks_.error) {
    auto [headers, body] = server_.hooks_.error(status);
    text = std::move(body);
    more.insert(more.end(), headers.begin(), headers.end());
  }
  head(status, more, "Content-Length: " + std::to_string(text.size()) + "\r\n");
  if (parser_.method() != "HEAD") write(text);
  answered();
}

void HttpConnection::head(int status, const Headers& headers, const std::string& framing) {
  if (server_.winding_down_ || server_.crowded()) last_ = true;
  std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + reason(status) + "\r\n";
  for (const auto& [name, value] : headers) text.append(name).append(": ").append(value).append("\r\n");
  write(text + framing + (last_ ? "Connection: close\r\n\r\n" : "\r\n"));
}

void HttpConnection::write(std::string_view bytes) {
  bufferevent_write(stream_.get(), bytes.data(), bytes.size());
}

void HttpConnection::answered() {
  give_back(counted_);
  // A stream that began before the end was told has no `Connection: close` in its head. Kept, its connection
  // would bring a next request that there is no time left for.
  if (last_ || server_.winding_down_) return finish();
  enter(Phase::idle);
  // The next request may have come already; it is read from the loop, for the handler may be what is calling.
  if (evbuffer_get_length(bufferevent_get_input(stream_.get())) > 0) {
    bufferevent_trigger(stream_.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
  }
}

void HttpConnection::give_back(std::size_t bytes) {
  server_.body_bytes_ -= bytes;
  counted_ -= bytes;
}

// Once all is out the end of this side is told, and the client's awaited for a moment: a close over bytes
// that have come meanwhile would reset the connection, and destroy what is still on its way.
void HttpConnection::finish() {
  enter(Phase::ending);
  ended_ = since_;
  if (server_.throw_away_rate_) bufferevent_set_rate_limit(stream_.get(), server_.throw_away_rate_.get());
  if (evbuffer_get_length(bufferevent_get_output(stream_.get())) == 0) {
    if (!reset_) shutdown(bufferevent_getfd(stream_.get()), SHUT_WR);
    bufferevent_trigger(stream_.get(), EV_WRITE, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
  }
  evbuffer* input = bufferevent_get_input(stream_.get());
  evbuffer_drain(input, evbuffer_get_length(input));
}

void HttpConnection::drained() {
  if (phase_ == Phase::answering && incoming_ != nullptr && incoming_->room_) {
    const std::function<void()> room = std::exchange(incoming_->room_, nullptr);
    return room();
  }
  if (phase_ != Phase::ending) return;
  if (reset_) return server_.close(*this);
  shutdown(bufferevent_getfd(stream_.get()), SHUT_WR);
  since_ = server_.loop_.now();
}

// By the client, or it has read nothing of its answer for too long.
void HttpConnection::closed() { server_.close(*this); }

// ---- Incoming ----

Incoming::Incoming(HttpConnection& connection, RequestParser head, std::string body)
    : connection_(&connection), head_(std::move(head)), body_(std::move(body)) {
  connection.incoming_ = this;
}

Incoming::~Incoming() {
  if (state_ == State::pending) answer(500, {}, "");
  if (state_ == State::streaming) abort();
}

HttpConnection& Incoming::leave() {
  state_ = State::over;
  connection_->incoming_ = nullptr;
  return *connection_;
}

bool Incoming::client_closed() const { return state_ != State::over && connection_->client_closed(); }

bool Incoming::hold(std::size_t bytes) {
  HttpServer& server = connection_->server_;
  if (server.body_bytes_ + bytes > server.limits_.body_bytes) return false;
  server.body_bytes_ += bytes;
  connection_->counted_ += bytes;
  return true;
}

void Incoming::answer(int status, const Headers& headers, std::string_view body) {
  if (state_ != State::pending) return;
  HttpConnection& connection = leave();
  const bool none = status == 204;
  connection.head(status, headers, none ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n");
  if (!none && !connection.bodyless_) connection.write(body);
  connection.answered();
}

void Incoming::begin(int status, const Headers& headers) {
  if (state_ != State::pending) return;
  state_ = State::streaming;
  connection_->head(status, headers, connection_->chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
}

void Incoming::chunk(std::string_view bytes) {
  if (state_ != State::streaming || bytes.empty()) return;
  // Guards memory: a client that does not read is cut off.
  if (evbuffer_get_length(bufferevent_get_output(connection_->stream_.get())) > kMostUnread) return abort();
  if (!connection_->chunked_) return connection_->write(bytes);
  char size[20];
  const int letters = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  connection_->write({size, std::size_t(letters)});
  connection_->write(bytes);
  connection_->write("\r\n");
}

bool Incoming::behind(const std::function<void()>& room) {
  if (state_ != State::streaming) return false;
  if (evbuffer_get_length(bufferevent_get_output(connection_->stream_.get())) <= kMuchUnread) return false;
  room_ = room;
  return true;
}

void Incoming::end() {
  if (state_ != State::streaming) return;
  HttpConnection& connection = leave();
  if (connection.chunked_) connection.write("0\r\n\r\n");
  connection.answered();
}

void Incoming::abort() {
  if (state_ != State::streaming) return;
  HttpConnection& connection = leave();
  connection.last_ = true;
  // Without chunks an ordinary end would look like a whole answer.
  if (!connection.chunked_) {
    connection.reset_ = true;
    const linger reset{1, 0};
    setsockopt(bufferevent_getfd(connection.stream_.get()), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }
  connection.answered();
}

std::optional<core::Passed> Incoming::passed() const {
  if (state_ != State::streaming) return std::nullopt;
  bufferevent* stream = connection_->stream_.get();
  evbuffer* output = bufferevent_get_output(stream);
  const std::size_t size = evbuffer_get_length(output);
  if (size > kMostPassed || !connection_->quiet()) return std::nullopt;
  // Looked at, not copied out: a connection's output lets nobody but itself take from its front.
  std::vector<evbuffer_iovec> parts(std::size_t(std::max(0, evbuffer_peek(output, -1, nullptr, nullptr, 0))));
  evbuffer_peek(output, -1, nullptr, parts.data(), int(parts.size()));
  std::vector<std::uint8_t> unsent;
  for (const evbuffer_iovec& part : parts) {
    const auto* begin = static_cast<const std::uint8_t*>(part.iov_base);
    unsent.insert(unsent.end(), begin, begin + part.iov_len);
  }
  const nlohmann::json state = {{"chunked", connection_->chunked_},
                                {"last", connection_->last_},
                                {"unsent", nlohmann::json::binary(std::move(unsent))}};
  std::string text;
  nlohmann::json::to_cbor(state, text);
  return core::Passed{bufferevent_getfd(stream), std::move(text)};
}

void Incoming::let_go() {
  if (state_ != State::streaming) return;
  HttpConnection& connection = leave();
  connection.server_.close(connection);
}

std::unique_ptr<Incoming> HttpServer::take_over(const core::Passed& passed) {
  const nlohmann::json state = nlohmann::json::from_cbor(passed.state, true, false);
  const bool whole = state.is_object() && state.contains("chunked") && state["chunked"].is_boolean() &&
                     state.contains("last") && state["last"].is_boolean() && state.contains("unsent") &&
                     state["unsent"].is_binary();
  if (!whole) {
    evutil_closesocket(passed.descriptor);
    return nullptr;
  }
  auto owned = std::make_unique<HttpConnection>(*this, passed.descriptor);
  HttpConnection& connection = *owned;
  connections_.emplace(&connection, std::move(owned));
  const auto& unsent = state["unsent"].get_binary();
  connection.go_on(state["chunked"], state["last"],
                   {reinterpret_cast<const char*>(unsent.data()), unsent.size()});
  auto incoming = std::make_unique<Incoming>(connection, RequestParser(limits_.most_body), "");
  incoming->state_ = Incoming::State::streaming;
  return incoming;
}

void Incoming::lost() {
  const bool told = state_ != State::over;
  leave();
  const std::function<void()> gone = std::move(gone_);
  if (told && gone) gone();  // last: it may destroy this
}

}  // namespace bankmux::net
