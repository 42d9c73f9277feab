// One connection of a client: reads its requests one after the other and writes their answers.
#pragma once

#include <memory>
#include <string>

#include "net/http/http_server.hpp"

namespace bankmux::net {

class HttpConnection {
 public:
  // silent: nothing has come yet. idle: kept after an answer. reading: a request has come in part. answering:
  // it is whole. ending: the last answer is on its way out, and what still comes in is thrown away.
  enum class Phase { silent, idle, reading, answering, ending };

  HttpConnection(HttpServer& server, evutil_socket_t socket);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  [[nodiscard]] Phase phase() const { return phase_; }
  [[nodiscard]] core::Duration age(core::Time now) const { return now - since_; }
  // Its time is up, by the phase that it is in.
  [[nodiscard]] bool overdue(core::Time now) const;
  // Bytes that nobody has read yet may be a request, which is still to be answered.
  [[nodiscard]] bool quiet() const;
  void time_out();
  // Ends a connection on which no request is pending. What crosses this is not read, so that its client hears
  // of a reset and sends it once more elsewhere: a request that was read would be lost.
  void end_resting();
  // Whether the client has closed its side, though the loop may not have told yet.
  [[nodiscard]] bool client_closed() const;
  // In the middle of a stream that another process began, of which the client has not been sent `unsent` yet.
  void go_on(bool chunked, bool last, std::string_view unsent);

 private:
  friend class Incoming;
  void read();
  void drained();
  void closed();
  void request_done(bool whole = true);
  void refuse(int status, Headers more = {});
  void head(int status, const Headers& headers, const std::string& framing);
  void write(std::string_view bytes);
  // After an answer: the next request, or the end.
  void answered();
  void finish();
  void enter(Phase phase);
  void give_back(std::size_t bytes);

  HttpServer& server_;
  BufferEventPtr stream_;
  RequestParser parser_;
  std::string body_;
  std::size_t counted_ = 0;  // bytes of the body in the server's count
  Incoming* incoming_ = nullptr;
  Phase phase_ = Phase::silent;
  core::Time since_;  // of the phase; reading counts from accept on a new connection
  bool last_ = false;
  bool chunked_ = false, bodyless_ = false;
  bool reset_ = false;   // to be reset once what was given is out
  bool unread_ = false;  // what still comes stays unread, see end_resting
  std::size_t thrown_away_ = 0;
  core::Time ended_{0};  // when it entered its last phase
};

}  // namespace bankmux::net
