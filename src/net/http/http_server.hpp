// HTTP/1.1 server for all fronts: a single handler for all requests, complete or streamed responses, and
// immediate notice when a client closes its connection while its response is pending. Uses bufferevents
// rather than evhttp, which accepts malformed requests and lacks limits; see docs/architecture.md.
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
#include "net/loop/memory_budget.hpp"

namespace bankmux::net {

class HttpServer;
class HttpConnection;

// A client's request and the means to answer it. Destruction before an answer sends 500; destruction during a
// stream breaks the stream off.
class IncomingRequest {
 public:
  IncomingRequest(HttpConnection& connection, RequestParser head, std::string body);
  ~IncomingRequest();
  IncomingRequest(const IncomingRequest&) = delete;
  IncomingRequest& operator=(const IncomingRequest&) = delete;

  [[nodiscard]] const std::string& method() const { return head_.method(); }
  // As received, including the query.
  [[nodiscard]] const std::string& target() const { return head_.target(); }
  [[nodiscard]] std::string path() const { return target().substr(0, target().find('?')); }
  [[nodiscard]] std::string header(const char* name) const { return std::string(head_.header(name)); }
  [[nodiscard]] const Headers& headers() const { return head_.headers(); }
  [[nodiscard]] std::string take_body() { return std::move(body_); }

  // Whether the client has closed its connection or its sending side. Asks the kernel, as the loop may not
  // have reported it yet.
  [[nodiscard]] bool client_closed() const;
  // How long the request's last byte had been waiting in the kernel when it was read: at most as long as this
  // process may have left input unread. During a shutdown, the least time that the kernel's clock allows for.
  [[nodiscard]] core::Duration waited() const;
  // Sets a callback for the loss of the client's connection before the answer has ended.
  void on_disconnect(std::function<void()> gone) { on_disconnect_ = std::move(gone); }
  // Reserves further bytes for this request until it is answered; false if the server's total would exceed
  // its limit.
  [[nodiscard]] bool reserve_bytes(std::size_t bytes);

  // Sends a complete response. Has no effect once a response has begun.
  void answer(int status, const Headers& headers, std::string_view body);
  // Sends the head of a streamed response, which chunk() continues and end() or abort() ends.
  void begin(int status, const Headers& headers);
  void chunk(std::string_view bytes);
  void end();
  // Ends a stream without its final chunk, after the output so far is written.
  void abort();
  // True if the client has too much unsent output; `room` is then called once all of it is written.
  [[nodiscard]] bool wait_for_output_room(const std::function<void()>& room);

  // Within a stream: the client's descriptor and the state that HttpServer::take_over needs to continue it.
  // Empty if there is too much unsent output, or if a further request has arrived.
  [[nodiscard]] std::optional<core::HandoverState> handover_state() const;
  // Closes this process's copy of the connection without ending the stream, which another process continues.
  void detach_after_handover();

 private:
  friend class HttpConnection;
  friend class HttpServer;
  enum class State { pending, streaming, over };
  void on_connection_lost();  // called when the client's connection is gone
  // Marks this as finished and detaches it from its connection.
  HttpConnection& detach();

  HttpConnection* connection_;
  RequestParser head_;
  std::string body_;
  std::function<void()> on_disconnect_, on_drained_;
  State state_ = State::pending;
};

// Limits on the resources that clients can use.
struct ServerLimits {
  std::size_t connections = 300;  // open at once
  // Total that all connections hold at once: heads and bodies of requests, and input that waits for an
  // answer.
  std::size_t held_bytes = 32 * 1024 * 1024;
  std::size_t max_body_bytes = RequestParser::kMaxBodyBytes;  // bytes of a single request body
  std::size_t unsent_bytes = 256 * 1024;  // unsent output of a single stream above which its source is paused
  // Minimum upload rate, in bytes per second, that earns a body more than the usual request time; 0: no extra
  // time.
  std::size_t min_upload_bytes_per_s = 0;
  // After the last response on a connection, further input is read and discarded, because closing a socket
  // with unread input would destroy the response in transit. Limits: total bytes, time while bytes keep
  // arriving, and bytes per second (0: no limit).
  std::size_t max_discarded_bytes = 512 * 1024;
  core::Duration discard_time{0};
  std::size_t discard_bytes_per_s = 0;
  // Answer 400 for every malformed or oversized request, for clients that do not distinguish error statuses.
  bool single_error_status = false;
};

// Extension points for a front. Either function may be empty.
struct ServerHooks {
  // Headers and body for an error response generated by the server.
  std::function<std::pair<Headers, std::string>(int status)> error;
  // Whether to read the body of a request with this head, which decides on answering `Expect: 100-continue`.
  // If not, the handler gets the request without a body, and the connection closes after the response.
  std::function<bool(const RequestParser& head)> reads_body;
};

// Accepts connections and passes each complete request to `handler`. Not thread-safe; runs on its loop.
class HttpServer {
 public:
  using Handler = std::function<void(std::unique_ptr<IncomingRequest>)>;

  // Starts listening, at an address or on a descriptor that already listens. Throws std::runtime_error on
  // failure.
  using Endpoint = std::variant<std::string, int>;
  HttpServer(Loop& loop, const Endpoint& endpoint, Handler handler, ServerLimits limits,
             ServerHooks hooks = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // While on, every response asks the client to close the connection.
  void close_after_responses(bool on = true) { closing_after_responses_ = on; }
  // Accepts what is waiting in the backlog, then closes the listener. Does not accept on an inherited socket,
  // whose backlog is left to the next process. False if the limits or a lack of descriptors left connections
  // in the backlog: the listener stays open, and the caller must try again.
  [[nodiscard]] bool stop_listening();
  // Continues a client's response stream from another process; takes ownership of the descriptor. Null if the
  // state is malformed.
  [[nodiscard]] std::unique_ptr<IncomingRequest> take_over(const core::HandoverState& passed);
  [[nodiscard]] bool closing_after_responses() const { return closing_after_responses_; }
  // Closes connections without a pending request; those that never sent one only at an age of at least
  // `silent`.
  void close_idle(core::Duration silent = core::Duration{0});
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

 private:
  friend class HttpConnection;
  friend class IncomingRequest;
  void accept(evutil_socket_t socket);
  [[nodiscard]] bool accept_pending();
  // Above 3/4 of the limit, connections are not kept after their response.
  [[nodiscard]] bool near_connection_limit() const {
    return connections_.size() * 4 > limits_.connections * 3;
  }
  [[nodiscard]] std::string count_by_phase() const;  // number of connections in each phase, for the log
  bool evict_connection();
  // Stops accepting until the next sweep finds room; what arrives waits in the kernel's backlog.
  void pause_accepting();
  void sweep();
  void close(HttpConnection& connection);

  Loop& loop_;
  Handler handler_;
  ServerLimits limits_;
  ServerHooks hooks_;
  std::unique_ptr<ev_token_bucket_cfg, Deleter<ev_token_bucket_cfg_free>> discard_rate_;
  bool own_socket_;
  bool closing_after_responses_ = false;
  MemoryBudget memory_;  // see ServerLimits::held_bytes; outlives the connections
  std::map<HttpConnection*, std::unique_ptr<HttpConnection>> connections_;  // all connections, from accept on
  ListenerPtr listener_;
  std::unique_ptr<core::Timer> sweep_timer_;
  // Input from before the last sweep but one has been read, since the loop has handled all its events since
  // then.
  core::Time last_sweep_, sweep_before_;
  bool accepting_ = false;  // without a pause since the last sweep
  // Since when connections may be waiting in the backlog; empty if all have been accepted. Those of an
  // inherited socket may be older than this process.
  std::optional<core::Time> backlog_since_ = core::Time{0};
};

}  // namespace bankmux::net
