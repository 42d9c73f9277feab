// One client connection: reads requests one after the other and writes their responses.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "net/http/http_server.hpp"
#include "net/http/input_times.hpp"

namespace bankmux::net {

class HttpConnection {
 public:
  // silent: new, nothing received yet. idle: kept alive after a response. reading: part of a request
  // received. answering: request complete, response pending. ending: the last response is being written,
  // further input is discarded.
  enum class Phase { silent, idle, reading, answering, ending };

  HttpConnection(HttpServer& server, evutil_socket_t socket);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  [[nodiscard]] Phase phase() const { return phase_; }
  [[nodiscard]] core::Duration age(core::Time now) const { return now - phase_start_; }
  [[nodiscard]] core::Duration time_without_input(core::Time now) const { return now - last_input_; }
  // Whether the time limit of the current phase has passed.
  [[nodiscard]] bool timed_out(core::Time now) const;
  // Whether no input is buffered here or in the kernel. Unread bytes may be a request that must be answered.
  [[nodiscard]] bool has_no_unread_input() const;
  void on_timeout();
  // Shuts down a connection without a pending request and reads nothing more. A request that arrives at the
  // same moment stays unread, so that the client sees a reset and can safely send it elsewhere. If it were
  // read, it would be lost.
  void shut_down_unread();
  // Whether the client has closed its sending side. Asks the kernel, as the loop may not have reported it
  // yet.
  [[nodiscard]] bool client_closed() const;
  // How long ago the kernel received the last input; zero if it does not tell. Input waits there unread while
  // the loop is delayed.
  [[nodiscard]] core::Duration input_age() const;
  // The longest time for which input of this connection may have been there unread.
  [[nodiscard]] core::Duration longest_unread_time() const;
  // How long the last byte of the current request had been there, here or in the kernel, when it was
  // dispatched; rather too long than too short.
  [[nodiscard]] core::Duration request_age() const;
  // Continues a response stream of another process; `unsent` is output that the client has not been sent yet.
  void resume_stream(bool chunked, bool last, std::string_view unsent);

 private:
  friend class IncomingRequest;
  void on_readable();
  void on_output_drained();
  void on_closed();
  void dispatch_request(bool complete = true);
  void send_error(int status, Headers more = {});
  void write_head(int status, const Headers& headers, const std::string& framing);
  void write(std::string_view bytes);
  // Called after each response: keeps the connection for the next request or closes it.
  void response_complete();
  void start_closing();
  // During a shutdown: closes the connection once the linger time is over or the close is harmless. The
  // process waits for it.
  void close_after_linger();
  // Whether the client has received all output and has sent nothing more: no reset by the close could destroy
  // any of it. The kernel delivers the end of the stream also after the close.
  [[nodiscard]] bool close_is_harmless() const;
  void set_phase(Phase phase);
  void enter_phase(Phase phase);  // and restarts its time
  // Updates what this connection holds: the head and body of the current request with what it has reserved,
  // and the buffered input behind it.
  void set_held_bytes(std::size_t request, std::size_t input);
  // Frees what no handler has been given: a request that is being read is refused, and input behind an open
  // one is dropped, after whose answer the connection closes.
  void shed_input();
  [[nodiscard]] std::size_t buffered_input() const;
  void note_buffered_input();
  void drop_input();

  HttpServer& server_;
  BufferEventPtr stream_;
  RequestParser parser_;
  std::string body_;
  std::size_t request_bytes_ = 0, input_bytes_ = 0;  // see set_held_bytes
  MemoryBudget::Account memory_;
  IncomingRequest* incoming_ = nullptr;
  Phase phase_ = Phase::silent;
  core::Time phase_start_;  // start of the phase; for the first request, reading counts from accept
  core::Time last_input_;   // when input was last read, or the connection accepted
  // Since when the next request may have waited: for the connection to be accepted, or behind an open
  // request.
  std::optional<core::Time> waiting_since_;
  InputTimes input_times_;                   // of the buffered input behind an open request
  std::optional<core::Time> request_input_;  // when the current request's last byte came, if it waited here
  bool close_after_response_ = false;
  bool chunked_ = false, omit_body_ = false;
  bool reset_on_close_ = false;   // reset the connection once the output is written
  bool reading_stopped_ = false;  // reading is disabled for good, see shut_down_unread
  std::size_t discarded_bytes_ = 0;
  core::Time closing_start_{0};  // when phase `ending` began
  std::unique_ptr<core::Timer> linger_timer_;
};

}  // namespace bankmux::net
