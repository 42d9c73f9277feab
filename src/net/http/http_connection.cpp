#include "net/http/http_connection.hpp"

#include <event2/bufferevent.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace bankmux::net {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxReadAheadBytes = 64 * 1024;  // input buffered beyond the current request
// From accept, or from the first byte of a later request, to the last byte of the request. Bounds how long a
// client that sends nothing, or half a request, holds a descriptor.
constexpr core::Duration kRequestTimeout = 2500ms;
constexpr core::Duration kIdleTimeout = 60s;
constexpr timeval kWriteTimeout{10, 0};  // for a client that does not read its response
// How long to wait for the client's close after the last response, see ServerLimits::max_discarded_bytes.
constexpr core::Duration kLingerTimeout = 500ms;
constexpr core::Duration kLingerTimeoutAtShutdown = 100ms;  // the same during shutdown; a few round trips
constexpr core::Duration kLingerCheckInterval = 10ms;       // during shutdown
constexpr int kEndOfStreamBytes = 1;  // in the kernel's count of what a client has not acknowledged

const char* reason_phrase(int status) {
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
      return "Status";  // status chosen by an instance and forwarded; reason phrases carry no meaning in HTTP
  }
}

}  // namespace

HttpConnection::HttpConnection(HttpServer& server, evutil_socket_t socket)
    : server_(server),
      stream_(bufferevent_socket_new(server.loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE)),
      parser_(server.limits_.max_body_bytes),
      memory_(server.memory_, [this] { shed_input(); }),
      phase_start_(server.loop_.now()),
      last_input_(phase_start_),
      waiting_since_(server.backlog_since_) {
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
        run_guarded("client", [=] { static_cast<HttpConnection*>(self)->on_readable(); });
      },
      [](bufferevent*, void* self) {
        run_guarded("client", [=] { static_cast<HttpConnection*>(self)->on_output_drained(); });
      },
      [](bufferevent*, short, void* self) {
        run_guarded("client", [=] { static_cast<HttpConnection*>(self)->on_closed(); });
      },
      this);
  bufferevent_setwatermark(stream_.get(), EV_READ, 0, kMaxReadAheadBytes);
  bufferevent_set_timeouts(stream_.get(), nullptr, &kWriteTimeout);
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
}

HttpConnection::~HttpConnection() {
  set_held_bytes(0, 0);
  if (incoming_ != nullptr) incoming_->on_connection_lost();
}

void HttpConnection::set_phase(Phase phase) {
  phase_ = phase;
  set_held_bytes(request_bytes_, input_bytes_);
}

void HttpConnection::enter_phase(Phase phase) {
  set_phase(phase);
  phase_start_ = server_.loop_.now();
}

bool HttpConnection::timed_out(core::Time now) const {
  switch (phase_) {
    case Phase::silent:
      // Unread input arrived in time; a delayed loop has not yet reported it.
      return age(now) >= kRequestTimeout && has_no_unread_input();
    case Phase::reading: {
      const std::size_t rate = server_.limits_.min_upload_bytes_per_s;
      const auto more = rate > 0 ? core::Duration(body_.size() * 1'000'000 / rate) : core::Duration{0};
      return age(now) >= kRequestTimeout + more;
    }
    case Phase::idle:
      return age(now) >= kIdleTimeout && has_no_unread_input();
    case Phase::ending: {
      if (evbuffer_get_length(bufferevent_get_output(stream_.get())) > 0) return false;
      // With reading disabled, libevent does not report the client's close.
      if (reading_stopped_ && client_closed()) return true;
      return age(now) >= (server_.closing_after_responses_ ? kLingerTimeoutAtShutdown : kLingerTimeout);
    }
    case Phase::answering:
      break;
  }
  return false;
}

bool HttpConnection::has_no_unread_input() const {
  int unread = 0;
  ioctl(bufferevent_getfd(stream_.get()), FIONREAD, &unread);
  return unread == 0 && evbuffer_get_length(bufferevent_get_input(stream_.get())) == 0;
}

void HttpConnection::resume_stream(bool chunked, bool last, std::string_view unsent) {
  enter_phase(Phase::answering);
  chunked_ = chunked;
  close_after_response_ = last;
  if (!unsent.empty()) write(unsent);
}

void HttpConnection::on_timeout() {
  if (phase_ == Phase::reading) return send_error(408);
  if (phase_ == Phase::ending) return server_.close(*this);
  shut_down_unread();
}

void HttpConnection::shut_down_unread() {
  reading_stopped_ = true;
  bufferevent_disable(stream_.get(), EV_READ);
  start_closing();
}

core::Duration HttpConnection::input_age() const {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (getsockopt(bufferevent_getfd(stream_.get()), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0s;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

core::Duration HttpConnection::longest_unread_time() const {
  const core::Time since = std::min(server_.sweep_before_, waiting_since_.value_or(server_.sweep_before_));
  return server_.loop_.now() - since;
}

core::Duration HttpConnection::request_age() const {
  if (request_input_) return server_.loop_.now() - *request_input_;
  return std::min(input_age(), longest_unread_time());
}

bool HttpConnection::client_closed() const {
  pollfd client{bufferevent_getfd(stream_.get()), POLLRDHUP, 0};
  return poll(&client, 1, 0) > 0;
}

void HttpConnection::on_readable() {
  evbuffer* input = bufferevent_get_input(stream_.get());
  if (phase_ == Phase::ending) {
    const ServerLimits& limits = server_.limits_;
    discarded_bytes_ += evbuffer_get_length(input);
    evbuffer_drain(input, evbuffer_get_length(input));
    const core::Time now = server_.loop_.now();
    // A client that is still sending reads the response only after it has finished.
    if (now - closing_start_ < limits.discard_time) phase_start_ = now;
    if (discarded_bytes_ > limits.max_discarded_bytes) bufferevent_disable(stream_.get(), EV_READ);
    return;
  }
  // Input that arrives while a response is pending stays buffered, up to the read watermark. At the
  // watermark, reading would stop and the client's close would go unnoticed behind the buffered bytes. They
  // are therefore dropped, and the connection closes after this response.
  if (phase_ == Phase::answering) {
    last_input_ = server_.loop_.now();
    note_buffered_input();
    set_held_bytes(request_bytes_, buffered_input());
    if (buffered_input() >= kMaxReadAheadBytes) drop_input();
    if (discarded_bytes_ > server_.limits_.max_discarded_bytes) return server_.close(*this);
    return server_.memory_.enforce();
  }
  if (evbuffer_get_length(input) == 0) return;
  if (phase_ == Phase::idle) enter_phase(Phase::reading);
  set_phase(Phase::reading);
  last_input_ = server_.loop_.now();
  const std::size_t size = evbuffer_get_length(input);
  const char* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  const bool had_head = parser_.state() != MessageParser::State::head;
  const std::size_t used = parser_.feed_limited({bytes, size}, body_);
  evbuffer_drain(input, used);
  request_input_ = input_times_.consume(used);
  note_buffered_input();
  if (parser_.state() == MessageParser::State::bad) return send_error(parser_.error_status());
  // Bounds memory: all requests together, from their first byte until they are answered.
  set_held_bytes(parser_.held_bytes() + body_.size(), buffered_input());
  server_.memory_.enforce();
  if (phase_ != Phase::reading) return;
  if (parser_.state() == MessageParser::State::done) return dispatch_request();
  if (!had_head && parser_.state() == MessageParser::State::body && parser_.expects_continue()) {
    // Without 100 Continue, the client receives its response before sending the body.
    if (server_.hooks_.reads_body && !server_.hooks_.reads_body(parser_)) return dispatch_request(false);
    write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void HttpConnection::dispatch_request(bool complete) {
  set_phase(Phase::answering);
  close_after_response_ = !parser_.keep_alive() || !complete;
  chunked_ = !parser_.is_http_1_0();
  omit_body_ = parser_.method() == "HEAD";
  server_.handler_(std::make_unique<IncomingRequest>(
      *this, std::exchange(parser_, RequestParser(server_.limits_.max_body_bytes)),
      std::exchange(body_, {})));
}

void HttpConnection::note_buffered_input() {
  if (buffered_input() == 0) return input_times_.clear();
  input_times_.add(buffered_input(), server_.loop_.now() - std::min(input_age(), longest_unread_time()));
}

std::size_t HttpConnection::buffered_input() const {
  return evbuffer_get_length(bufferevent_get_input(stream_.get()));
}

void HttpConnection::shed_input() {
  if (phase_ == Phase::reading) return send_error(503, {{"Retry-After", "1"}});
  drop_input();
}

void HttpConnection::drop_input() {
  close_after_response_ = true;
  input_times_.clear();
  discarded_bytes_ += buffered_input();
  evbuffer_drain(bufferevent_get_input(stream_.get()), buffered_input());
  set_held_bytes(request_bytes_, 0);
}

// Answers a request that is not passed to the handler, with an error of the server.
void HttpConnection::send_error(int status, Headers more) {
  set_phase(Phase::answering);
  close_after_response_ = true;
  const bool omit_body = parser_.method() == "HEAD";
  // Assigning empty strings would keep the memory of the old ones until the connection ends.
  static_cast<void>(std::exchange(parser_, RequestParser(server_.limits_.max_body_bytes)));
  static_cast<void>(std::exchange(body_, {}));
  if (server_.limits_.single_error_status && status != 503) status = 400;
  std::string text = std::string(reason_phrase(status)) + "\n";
  if (server_.hooks_.error) {
    auto [headers, body] = server_.hooks_.error(status);
    text = std::move(body);
    more.insert(more.end(), headers.begin(), headers.end());
  }
  write_head(status, more, "Content-Length: " + std::to_string(text.size()) + "\r\n");
  if (!omit_body) write(text);
  response_complete();
}

void HttpConnection::write_head(int status, const Headers& headers, const std::string& framing) {
  if (server_.closing_after_responses_ || server_.near_connection_limit()) close_after_response_ = true;
  std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + reason_phrase(status) + "\r\n";
  for (const auto& [name, value] : headers) text.append(name).append(": ").append(value).append("\r\n");
  write(text + framing + (close_after_response_ ? "Connection: close\r\n\r\n" : "\r\n"));
}

void HttpConnection::write(std::string_view bytes) {
  bufferevent_write(stream_.get(), bytes.data(), bytes.size());
}

void HttpConnection::response_complete() {
  set_held_bytes(0, buffered_input());
  if (input_bytes_ == 0) waiting_since_.reset();
  // A stream that began before the shutdown has no `Connection: close` in its head. If its connection were
  // kept, the client could send a request for which there is no time left.
  if (close_after_response_ || server_.closing_after_responses_) return start_closing();
  enter_phase(Phase::idle);
  // The next request may already be buffered. It is read from the loop, because the handler may be on the
  // call stack.
  if (evbuffer_get_length(bufferevent_get_input(stream_.get())) > 0) {
    bufferevent_trigger(stream_.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
  }
}

void HttpConnection::set_held_bytes(std::size_t request, std::size_t input) {
  request_bytes_ = request;
  input_bytes_ = input;
  std::size_t can_shed = 0;
  if (phase_ == Phase::reading) can_shed = request + input;
  if (phase_ == Phase::answering) can_shed = input;
  memory_.set(request + input, can_shed, last_input_);
  if (input > 0 && !waiting_since_) waiting_since_ = server_.sweep_before_;
}

// After all output is written, shuts down this side and waits briefly for the client's close. Closing a
// socket with unread input would reset the connection and could destroy output in transit.
void HttpConnection::start_closing() {
  enter_phase(Phase::ending);
  closing_start_ = phase_start_;
  if (server_.discard_rate_) bufferevent_set_rate_limit(stream_.get(), server_.discard_rate_.get());
  if (evbuffer_get_length(bufferevent_get_output(stream_.get())) == 0) {
    if (!reset_on_close_) shutdown(bufferevent_getfd(stream_.get()), SHUT_WR);
    bufferevent_trigger(stream_.get(), EV_WRITE, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
  }
  discarded_bytes_ += buffered_input();
  evbuffer_drain(bufferevent_get_input(stream_.get()), buffered_input());
  set_held_bytes(request_bytes_, 0);
}

void HttpConnection::on_output_drained() {
  if (phase_ == Phase::answering && incoming_ != nullptr && incoming_->on_drained_) {
    const std::function<void()> room = std::exchange(incoming_->on_drained_, nullptr);
    return room();
  }
  if (phase_ != Phase::ending) return;
  if (reset_on_close_) return server_.close(*this);
  shutdown(bufferevent_getfd(stream_.get()), SHUT_WR);
  phase_start_ = server_.loop_.now();
  if (server_.closing_after_responses_) close_after_linger();
}

void HttpConnection::close_after_linger() {
  const core::Time now = server_.loop_.now();
  const core::Duration remaining = kLingerTimeoutAtShutdown - age(now);
  if (remaining <= core::Duration{0} || close_is_harmless()) return server_.close(*this);
  linger_timer_ =
      server_.loop_.at(now + std::min(remaining, kLingerCheckInterval), [this] { close_after_linger(); });
}

bool HttpConnection::close_is_harmless() const {
  int unacknowledged = 0;
  const bool known = ioctl(bufferevent_getfd(stream_.get()), SIOCOUTQ, &unacknowledged) == 0;
  return known && unacknowledged <= kEndOfStreamBytes && discarded_bytes_ == 0 && has_no_unread_input();
}

// Called on the client's close, on an error, and if the client has not read its response within the write
// timeout.
void HttpConnection::on_closed() { server_.close(*this); }

}  // namespace bankmux::net
