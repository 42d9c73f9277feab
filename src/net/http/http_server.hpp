// The server side of HTTP for all fronts: one handler for all requests, answers whole or streamed, and word
// at once when a client closes its connection while its answer is pending. On bufferevents, not evhttp: what
// evhttp lets through and cannot bound is written down in docs/architecture.md.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
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

  // Whether the client has closed its connection, or its half of it, though the loop may not have told yet.
  [[nodiscard]] bool client_closed() const;
  void on_gone(std::function<void()> gone) { gone_ = std::move(gone); }
  // Counts more bytes held for this request until it is answered; false where all together would be too many.
  [[nodiscard]] bool hold(std::size_t bytes);

  void answer(int status, const Headers& headers, std::string_view body);
  void begin(int status, const Headers& headers);
  void chunk(std::string_view bytes);
  void end();
  // Ends a stream without its last chunk, once what was given is out.
  void abort();
  // More than enough of a stream waits for its client to read it; `room` is called once all of it is out.
  [[nodiscard]] bool behind(const std::function<void()>& room);

  // In the middle of a stream: the connection, and what HttpServer::take_over needs to go on with it. Nothing
  // where more waits on it than is worth copying, or a further request has come.
  [[nodiscard]] std::optional<core::Passed> passed() const;
  // Another process goes on with the stream: closes this process's hold on the connection, and no more.
  void let_go();

 private:
  friend class HttpConnection;
  friend class HttpServer;
  enum class State { pending, streaming, over };
  void lost();  // the client's connection is gone
  // Detaches this from its connection.
  HttpConnection& leave();

  HttpConnection* connection_;
  RequestParser head_;
  std::string body_;
  std::function<void()> gone_, room_;
  State state_ = State::pending;
};

struct ServerLimits {
  std::size_t connections = 300;
  std::size_t body_bytes = 32 * 1024 * 1024;  // of all bodies that are held at once
  std::size_t most_body = RequestParser::kMostBody;
  // Bytes a second at which a body may come that takes longer than a request's usual time; 0: none may.
  std::size_t least_upload_rate = 0;
  // What still comes after a last answer is read and forgotten, for a close with bytes unread would destroy
  // the answer on its way. Bounded in bytes, in time while bytes come, and in bytes a second (0: not).
  std::size_t most_thrown_away = 512 * 1024;
  core::Duration throw_away_for{0};
  std::size_t throw_away_rate = 0;
  // Whatever is wrong with a request's form or size is 400: for callers that know yes and no alone.
  bool one_fault = false;
};

// What a front adds to the server's own answers. Either may be empty.
struct ServerHooks {
  // Headers and body of an error answer that the server gives of itself.
  std::function<std::pair<Headers, std::string>(int status)> error;
  // Whether a request of this head is read: only then is `Expect: 100-continue` told to go on. One that is
  // not goes to the handler with its head alone, and its connection closes after the answer.
  std::function<bool(const RequestParser& head)> wants;
};

class HttpServer {
 public:
  using Handler = std::function<void(std::unique_ptr<Incoming>)>;

  // Listens at once, at an address or on a descriptor that listens already; throws std::runtime_error where
  // it cannot.
  using Place = std::variant<std::string, int>;
  HttpServer(Loop& loop, const Place& place, Handler handler, ServerLimits limits, ServerHooks hooks = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // From now on each answer asks its client to close the connection.
  void wind_down(bool on = true) { winding_down_ = on; }
  // What waits to be accepted is accepted first; at a socket that was passed it is the next holder's. False
  // where there was no room or no descriptor for all of it: it listens on, and is to be told again.
  [[nodiscard]] bool stop_listening();
  // A client's connection in the middle of a stream that another process began; takes the descriptor. Null
  // where the state can't be read.
  [[nodiscard]] std::unique_ptr<Incoming> take_over(const core::Passed& passed);
  [[nodiscard]] bool winding_down() const { return winding_down_; }
  // Ends the connections on which no request is pending, those that have not brought any yet only once they
  // are `silent` old.
  void close_idle(core::Duration silent = core::Duration{0});
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

 private:
  friend class HttpConnection;
  friend class Incoming;
  void accept(evutil_socket_t socket);
  [[nodiscard]] bool accept_waiting();
  // So little room is left that no connection is kept beyond its answer.
  [[nodiscard]] bool crowded() const { return connections_.size() * 4 > limits_.connections * 3; }
  [[nodiscard]] std::string census() const;  // how many connections are in which phase
  bool make_room();
  void look();
  void close(HttpConnection& connection);

  Loop& loop_;
  Handler handler_;
  ServerLimits limits_;
  ServerHooks hooks_;
  std::unique_ptr<ev_token_bucket_cfg, Freed<ev_token_bucket_cfg_free>> throw_away_rate_;
  bool own_socket_;
  bool winding_down_ = false;
  std::size_t body_bytes_ = 0;
  std::map<HttpConnection*, std::unique_ptr<HttpConnection>> connections_;  // from accept on
  ListenerPtr listener_;
  std::unique_ptr<core::Timer> look_again_;
};

}  // namespace bankmux::net
