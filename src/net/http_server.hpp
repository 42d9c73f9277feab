// evhttp as the fronts use it: one handler for all requests, answers whole or streamed, and word at once when
// a client closes its connection while its answer is pending.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/address.hpp"
#include "net/loop.hpp"

namespace bankmux::net {

using Headers = std::vector<std::pair<std::string, std::string>>;

class HttpServer;

// One request of a client and the way to answer it. Destroyed unanswered, it answers 500; destroyed within a
// stream, it breaks the stream off.
class Incoming {
 public:
  Incoming(HttpServer& server, evhttp_request* request);
  ~Incoming();
  Incoming(const Incoming&) = delete;
  Incoming& operator=(const Incoming&) = delete;

  [[nodiscard]] std::string method() const;
  [[nodiscard]] std::string target() const;  // as it came, query included
  [[nodiscard]] std::string path() const;
  [[nodiscard]] std::string header(const char* name) const;
  [[nodiscard]] Headers headers() const;
  [[nodiscard]] std::string take_body();

  void on_gone(std::function<void()> gone) { gone_ = std::move(gone); }

  void answer(int status, const Headers& headers, std::string_view body);
  void begin(int status, const Headers& headers);
  void chunk(std::string_view bytes);
  void end();
  // Ends a stream without its last chunk, once what was given is out.
  void abort();

 private:
  friend class HttpServer;
  enum class State { pending, streaming, over };
  void lost();  // the client's connection is gone
  void add_headers(const Headers& headers);
  void detach();

  HttpServer& server_;
  evhttp_request* request_;
  evhttp_connection* connection_;
  EventPtr closed_;
  std::function<void()> gone_;
  State state_ = State::pending;
};

class HttpServer {
 public:
  using Handler = std::function<void(std::unique_ptr<Incoming>)>;

  // Listens at once; throws std::runtime_error where it cannot.
  HttpServer(Loop& loop, const std::string& address, Handler handler, std::size_t most_connections);
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
  [[nodiscard]] std::size_t pending() const { return pending_.size(); }
  [[nodiscard]] std::uint16_t port() const { return port_; }

 private:
  friend class Incoming;
  static void handle(evhttp_request* request, void* self);
  void keep_listening();
  static void connection_closed(evhttp_connection* connection, void* self);
  static void chunk_out(evhttp_connection* connection, void* self);

  Loop& loop_;
  Handler handler_;
  std::size_t most_connections_;
  std::unique_ptr<evhttp, Freed<evhttp_free>> http_;
  evhttp_bound_socket* listener_ = nullptr;
  std::uint16_t port_ = 0;
  bool winding_down_ = false;
  std::unique_ptr<core::Timer> listen_again_;
  std::set<evhttp_connection*> connections_;  // those that have sent a request
  std::set<evhttp_connection*> closing_;      // broken off once what was given is out
  std::map<evhttp_connection*, Incoming*> pending_;
};

}  // namespace bankmux::net
