#include "net/http_server.hpp"

#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <chrono>
#include <stdexcept>

#include "app/log.hpp"

namespace bankmux::net {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMostBody = 256 * 1024;
constexpr std::size_t kMostHeaders = 64 * 1024;
constexpr std::size_t kMostUnread = 1024 * 1024;  // of an answer that its client does not read
constexpr int kIdleSeconds = 300;
constexpr core::Duration kListenAgain = 200ms;

evbuffer* buffer_of(std::string_view bytes, BufferPtr& owner) {
  owner.reset(evbuffer_new());
  evbuffer_add(owner.get(), bytes.data(), bytes.size());
  return owner.get();
}

std::size_t unsent(evhttp_connection* connection) {
  return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(connection)));
}

evutil_socket_t socket_of(evhttp_connection* connection) {
  return bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
}

}  // namespace

// ---- Incoming ----

Incoming::Incoming(HttpServer& server, evhttp_request* request)
    : server_(server), request_(request), connection_(evhttp_request_get_connection(request)) {
  server_.pending_[connection_] = this;
  // evhttp stops reading while an answer is pending, and so would not notice that its client has left: the
  // loop is asked for the end of the client's side alone.
  closed_.reset(event_new(
      server_.loop_.base(), socket_of(connection_), EV_CLOSED,
      [](evutil_socket_t, short, void* self) {
        guarded("client", [self] { evhttp_connection_free(static_cast<Incoming*>(self)->connection_); });
      },
      this));
  event_add(closed_.get(), nullptr);
}

Incoming::~Incoming() {
  if (state_ == State::pending) answer(500, {}, "");
  if (state_ == State::streaming) abort();
}

std::string Incoming::method() const {
  switch (evhttp_request_get_command(request_)) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    default:
      return "";
  }
}

std::string Incoming::target() const { return evhttp_request_get_uri(request_); }

std::string Incoming::path() const {
  const std::string whole = target();
  return whole.substr(0, whole.find('?'));
}

std::string Incoming::header(const char* name) const {
  const char* value = evhttp_find_header(evhttp_request_get_input_headers(request_), name);
  return value == nullptr ? "" : value;
}

Headers Incoming::headers() const {
  Headers result;
  const evkeyvalq* list = evhttp_request_get_input_headers(request_);
  for (const evkeyval* entry = list->tqh_first; entry != nullptr; entry = entry->next.tqe_next) {
    result.emplace_back(entry->key, entry->value);
  }
  return result;
}

std::string Incoming::take_body() {
  evbuffer* input = evhttp_request_get_input_buffer(request_);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

void Incoming::add_headers(const Headers& headers) {
  evkeyvalq* out = evhttp_request_get_output_headers(request_);
  for (const auto& [name, value] : headers) evhttp_add_header(out, name.c_str(), value.c_str());
  if (server_.winding_down_) evhttp_add_header(out, "Connection", "close");
}

void Incoming::detach() {
  closed_.reset();
  server_.pending_.erase(connection_);
  state_ = State::over;
}

void Incoming::answer(int status, const Headers& headers, std::string_view body) {
  if (state_ != State::pending) return;
  add_headers(headers);
  detach();
  BufferPtr owner;
  evhttp_send_reply(request_, status, nullptr, buffer_of(body, owner));
}

void Incoming::begin(int status, const Headers& headers) {
  if (state_ != State::pending) return;
  add_headers(headers);
  state_ = State::streaming;
  evhttp_send_reply_start(request_, status, nullptr);
}

void Incoming::chunk(std::string_view bytes) {
  if (state_ != State::streaming || bytes.empty()) return;
  // Guards memory: a client that does not read is cut off.
  if (unsent(connection_) > kMostUnread) return abort();
  BufferPtr owner;
  evhttp_send_reply_chunk_with_cb(request_, buffer_of(bytes, owner), &HttpServer::chunk_out, &server_);
}

void Incoming::end() {
  if (state_ != State::streaming) return;
  detach();
  evhttp_send_reply_end(request_);
}

void Incoming::abort() {
  if (state_ != State::streaming) return;
  detach();
  if (unsent(connection_) > 0) {
    server_.closing_.insert(connection_);
  } else {
    evhttp_connection_free(connection_);
  }
}

void Incoming::lost() {
  const bool told = state_ != State::over;
  // Where evhttp has noticed by itself, it leaves the request to its user.
  if (evhttp_request_get_connection(request_) == nullptr) evhttp_request_free(request_);
  detach();
  const std::function<void()> gone = std::move(gone_);
  if (told && gone) gone();  // last: it may destroy this
}

// ---- HttpServer ----

HttpServer::HttpServer(Loop& loop, const std::string& address, Handler handler, std::size_t most_connections)
    : loop_(loop),
      handler_(std::move(handler)),
      most_connections_(most_connections),
      http_(evhttp_new(loop.base())) {
  const auto at = config::Address::parse(address);
  if (!at || !http_) throw std::runtime_error("cannot listen at '" + address + "'");
  evhttp_set_max_body_size(http_.get(), kMostBody);
  evhttp_set_max_headers_size(http_.get(), kMostHeaders);
  evhttp_set_timeout(http_.get(), kIdleSeconds);
  evhttp_set_flags(http_.get(), EVHTTP_SERVER_LINGERING_CLOSE);
  evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                              EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH |
                                              EVHTTP_REQ_OPTIONS);
  evhttp_set_gencb(http_.get(), &HttpServer::handle, this);
  listener_ = evhttp_bind_socket_with_handle(http_.get(), at->host.c_str(), at->port);
  if (listener_ == nullptr) throw std::runtime_error("cannot listen at '" + address + "'");
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  getsockname(evhttp_bound_socket_get_fd(listener_), reinterpret_cast<sockaddr*>(&bound), &size);
  port_ = ntohs(bound.sin_port);
  // Out of descriptors, libevent would try again without a pause: the listener rests for a moment instead.
  evconnlistener_set_error_cb(evhttp_bound_socket_get_listener(listener_),
                              [](evconnlistener* listener, void*) {
                                app::log("server", "cannot accept a connection");
                                evconnlistener_disable(listener);
                              });
  keep_listening();
}

HttpServer::~HttpServer() { listen_again_.reset(); }

void HttpServer::keep_listening() {
  if (listener_ == nullptr) return;
  evconnlistener_enable(evhttp_bound_socket_get_listener(listener_));
  listen_again_ = loop_.at(loop_.now() + kListenAgain, [this] { keep_listening(); });
}

void HttpServer::handle(evhttp_request* request, void* self) {
  auto& server = *static_cast<HttpServer*>(self);
  evhttp_connection* connection = evhttp_request_get_connection(request);
  if (server.connections_.insert(connection).second) {
    evhttp_connection_set_closecb(connection, &HttpServer::connection_closed, self);
    const int on = 1;
    setsockopt(socket_of(connection), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  guarded("server", [&] {
    auto incoming = std::make_unique<Incoming>(server, request);
    if (server.connections_.size() > server.most_connections_) {
      incoming->answer(503, {{"Retry-After", "1"}, {"Connection", "close"}}, "too many connections\n");
      return;
    }
    server.handler_(std::move(incoming));
  });
}

void HttpServer::connection_closed(evhttp_connection* connection, void* self) {
  auto& server = *static_cast<HttpServer*>(self);
  server.connections_.erase(connection);
  server.closing_.erase(connection);
  const auto it = server.pending_.find(connection);
  if (it != server.pending_.end()) guarded("client", [&] { it->second->lost(); });
}

void HttpServer::chunk_out(evhttp_connection* connection, void* self) {
  if (static_cast<HttpServer*>(self)->closing_.contains(connection)) evhttp_connection_free(connection);
}

void HttpServer::stop_listening() {
  listen_again_.reset();
  if (listener_ != nullptr) evhttp_del_accept_socket(http_.get(), std::exchange(listener_, nullptr));
}

void HttpServer::close_idle() {
  const std::vector<evhttp_connection*> all(connections_.begin(), connections_.end());
  for (evhttp_connection* connection : all) {
    int unread = 0;
    ioctl(socket_of(connection), FIONREAD, &unread);
    // A request that lies unread is still to be answered.
    if (unread > 0 || unsent(connection) > 0 || pending_.contains(connection) ||
        closing_.contains(connection))
      continue;
    evhttp_connection_free(connection);
  }
}

}  // namespace bankmux::net
