// A client's request and its response; the connection that carries them is in http_connection.cpp.
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <vector>

#include "net/http/http_connection.hpp"

namespace bankmux::net {

using namespace std::chrono_literals;

namespace {

// Unsent output of a stream up to which it may be handed over to another process.
constexpr std::size_t kMaxHandoverBytes = 64 * 1024;
// Limit for a stream whose source cannot be paused: an event of the maximum size plus what arrived with it.
constexpr std::size_t kMaxUnsentBytes = 4 * 1024 * 1024;
// The kernel counts the age of input in ticks of its clock, the longest of which (CONFIG_HZ=100) is this.
constexpr core::Duration kMaxClockTick = 10ms;

}  // namespace

IncomingRequest::IncomingRequest(HttpConnection& connection, RequestParser head, std::string body)
    : connection_(&connection), head_(std::move(head)), body_(std::move(body)) {
  connection.incoming_ = this;
}

IncomingRequest::~IncomingRequest() {
  if (state_ == State::pending) answer(500, {}, "");
  if (state_ == State::streaming) abort();
}

HttpConnection& IncomingRequest::detach() {
  state_ = State::over;
  connection_->incoming_ = nullptr;
  return *connection_;
}

bool IncomingRequest::client_closed() const { return state_ != State::over && connection_->client_closed(); }

core::Duration IncomingRequest::waited() const {
  // During a shutdown, a request that came in time must not count as late, nor a late one as in time.
  if (connection_->server_.closing_after_responses_)
    return std::max(connection_->input_age() - kMaxClockTick, core::Duration{0});
  return connection_->request_age();
}

bool IncomingRequest::reserve_bytes(std::size_t bytes) {
  if (!connection_->server_.memory_.has_room_for(bytes)) return false;
  connection_->set_held_bytes(connection_->request_bytes_ + bytes, connection_->input_bytes_);
  return true;
}

void IncomingRequest::answer(int status, const Headers& headers, std::string_view body) {
  if (state_ != State::pending) return;
  HttpConnection& connection = detach();
  const bool none = status == 204;
  connection.write_head(status, headers,
                        none ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n");
  if (!none && !connection.omit_body_) connection.write(body);
  connection.response_complete();
}

void IncomingRequest::begin(int status, const Headers& headers) {
  if (state_ != State::pending) return;
  state_ = State::streaming;
  connection_->write_head(status, headers, connection_->chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
}

void IncomingRequest::chunk(std::string_view bytes) {
  if (state_ != State::streaming || bytes.empty()) return;
  // Bounds memory: a client that does not read is disconnected.
  if (evbuffer_get_length(bufferevent_get_output(connection_->stream_.get())) > kMaxUnsentBytes)
    return abort();
  if (!connection_->chunked_) return connection_->write(bytes);
  char size[20];
  const int letters = std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  connection_->write({size, std::size_t(letters)});
  connection_->write(bytes);
  connection_->write("\r\n");
}

bool IncomingRequest::wait_for_output_room(const std::function<void()>& room) {
  if (state_ != State::streaming) return false;
  const std::size_t unsent = evbuffer_get_length(bufferevent_get_output(connection_->stream_.get()));
  if (unsent <= connection_->server_.limits_.unsent_bytes) return false;
  on_drained_ = room;
  return true;
}

void IncomingRequest::end() {
  if (state_ != State::streaming) return;
  HttpConnection& connection = detach();
  if (connection.chunked_) connection.write("0\r\n\r\n");
  connection.response_complete();
}

void IncomingRequest::abort() {
  if (state_ != State::streaming) return;
  HttpConnection& connection = detach();
  connection.close_after_response_ = true;
  // Without chunked coding, a regular close would make the truncated body look complete.
  if (!connection.chunked_) {
    connection.reset_on_close_ = true;
    const linger reset{1, 0};
    setsockopt(bufferevent_getfd(connection.stream_.get()), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }
  connection.response_complete();
}

std::optional<core::HandoverState> IncomingRequest::handover_state() const {
  if (state_ != State::streaming) return std::nullopt;
  bufferevent* stream = connection_->stream_.get();
  evbuffer* output = bufferevent_get_output(stream);
  const std::size_t size = evbuffer_get_length(output);
  if (size > kMaxHandoverBytes || !connection_->has_no_unread_input()) return std::nullopt;
  // Copied with evbuffer_peek, because only the bufferevent may remove data from the front of its output.
  std::vector<evbuffer_iovec> parts(std::size_t(std::max(0, evbuffer_peek(output, -1, nullptr, nullptr, 0))));
  evbuffer_peek(output, -1, nullptr, parts.data(), int(parts.size()));
  std::vector<std::uint8_t> unsent;
  for (const evbuffer_iovec& part : parts) {
    const auto* begin = static_cast<const std::uint8_t*>(part.iov_base);
    unsent.insert(unsent.end(), begin, begin + part.iov_len);
  }
  const nlohmann::json state = {{"chunked", connection_->chunked_},
                                {"last", connection_->close_after_response_},
                                {"unsent", nlohmann::json::binary(std::move(unsent))}};
  std::string text;
  nlohmann::json::to_cbor(state, text);
  return core::HandoverState{bufferevent_getfd(stream), std::move(text)};
}

void IncomingRequest::detach_after_handover() {
  if (state_ != State::streaming) return;
  HttpConnection& connection = detach();
  connection.server_.close(connection);
}

std::unique_ptr<IncomingRequest> HttpServer::take_over(const core::HandoverState& passed) {
  const nlohmann::json state = nlohmann::json::from_cbor(passed.state, true, false);
  const bool valid = state.is_object() && state.contains("chunked") && state["chunked"].is_boolean() &&
                     state.contains("last") && state["last"].is_boolean() && state.contains("unsent") &&
                     state["unsent"].is_binary();
  if (!valid) {
    evutil_closesocket(passed.descriptor);
    return nullptr;
  }
  auto owned = std::make_unique<HttpConnection>(*this, passed.descriptor);
  HttpConnection& connection = *owned;
  connections_.emplace(&connection, std::move(owned));
  const auto& unsent = state["unsent"].get_binary();
  connection.resume_stream(state["chunked"], state["last"],
                           {reinterpret_cast<const char*>(unsent.data()), unsent.size()});
  auto incoming = std::make_unique<IncomingRequest>(connection, RequestParser(limits_.max_body_bytes), "");
  incoming->state_ = IncomingRequest::State::streaming;
  return incoming;
}

void IncomingRequest::on_connection_lost() {
  const bool notify = state_ != State::over;
  detach();
  const std::function<void()> callback = std::move(on_disconnect_);
  if (notify && callback) callback();  // last: it may destroy this object
}

}  // namespace bankmux::net
