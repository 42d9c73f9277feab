// The server side of HTTP for all fronts: one handler for all requests, answers whole or streamed, and word
// at once when a client closes its connection while its answer is pending. On bufferevents, not evhttp: what
// evhttp lets through and cannot bound is written down in docs/architecture.md.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/address.hpp"
#include "net/http/request_parser.hpp"
#include "net/loop/loop.hpp"

namespace bankmux::net {

class HttpServer;
class HttpConnection;

// One request of a client and the way to answer it. Destroyed unanswered, it answers 500; destroyed within a
// stream, it breaks the stream off.
class Incoming {
 public:
  Incoming(HttpConnection& connection, RequestParser head, std::string body);
  ~Incoming();
  Incoming(const Incoming&) = delete;
  Incoming& operator=(const Incoming&) = delete;

  [[nodiscard]] const std::string& method() const { return head_.method(); }
  [[nodiscard]] const std::string& target() const { return head_.target(); }  // as it came, query included
  [[nodiscard]] std::string path() const { return target().substr(0, target().find('?')); }
  [[nodiscard]] std::string header(const char* name) const { return std::string(head_.header(name)); }
  [[nodiscard]] const Headers& headers() const { return head_.headers(); }
  [[nodiscard]] std::string take_body() { return std::move(body_); }

  void on_gone(std::function<void()> gone) { gone_ = std::move(gone); }

  void answer(int status, const Headers& headers, std::string_view body);
  void begin(int status, const Headers& headers);
  void chunk(std::string_view bytes);
  void end();
  // Ends a stream without its last chunk, once what was given is out.
  void abort();

 private:
  friend class HttpConnection;
  enum class State { pending, streaming, over };
  void lost();  // the client's connection is gone
  // Detaches this from its connection.
  HttpConnection& leave();

  HttpConnection* connection_;
  RequestParser head_;
  std::string body_;
  std::function<void()> gone_;
  State state_ = State::pending;
};

struct ServerLimits {
  std::size_t connections = 300;
  std::size_t body_bytes = 32 * 1024 * 1024;  // of all bodies that are held at once
};

class HttpServer {
 public:
  using Handler = std::function<void(std::unique_ptr<Incoming>)>;

  // Listens at once; throws std::runtime_error where it cannot.
  HttpServer(Loop& loop, const std::string& address, Handler handler, ServerLimits limits);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // From now on each answer asks its client to close the connection.
  void wind_down() { winding_down_ = true; }
  void stop_listening();
  [[nodiscard]] bool winding_down() const { return winding_down_; }
  // Closes the connections on which no request is pending.
  void close_idle();
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

 private:
  friend class HttpConnection;
  friend class Incoming;
  void accept(evutil_socket_t socket);
  // So little room is left that no connection is kept beyond its answer.
  [[nodiscard]] bool crowded() const { return connections_.size() * 4 > limits_.connections * 3; }
  [[nodiscard]] std::string census() const;  // how many connections are in which phase
  bool make_room();
  void look();
  void close(HttpConnection& connection);

  Loop& loop_;
  Handler handler_;
  ServerLimits limits_;
  bool winding_down_ = false;
  std::size_t body_bytes_ = 0;
  std::map<HttpConnection*, std::unique_ptr<HttpConnection>> connections_;  // from accept on
  ListenerPtr listener_;
  std::unique_ptr<core::Timer> look_again_;
};

}  // namespace bankmux::net
