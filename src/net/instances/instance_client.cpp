#include "net/instances/instance_client.hpp"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "sse/event_splitter.hpp"
#include "sse/stream_scanner.hpp"

namespace bankmux::net {

using namespace std::chrono_literals;
using core::AttemptResult;
using core::Duration;
using core::Progress;
using core::Verdict;

namespace {

// For calls without a body. Instances answer a call about an unknown prefill after 0.3 s.
constexpr Duration kCallTimeout = 1s;
// Calls without a body have no effect that a lost connection or a late answer could duplicate.
constexpr core::ConnectionTerms kHarmlessCall{.failure_harmless = true};
constexpr std::size_t kMaxBodyBytes = 1024 * 1024;           // of a response that is not a stream
constexpr std::size_t kMaxChatBodyBytes = 16 * 1024 * 1024;  // of a non-streamed chat answer
// Images and log probabilities arrive in a single event.
constexpr std::size_t kMaxEventBytes = 2 * 1024 * 1024;
// Of a stream, held back until its first event is complete.
constexpr std::size_t kMaxUnsentPrefixBytes = 16 * 1024;
// How long a response may take to end after [DONE], so that its connection can be kept.
constexpr Duration kGraceAfterDone = 250ms;

// Headers that apply to a single connection, and those that are set anew for the instance.
bool is_hop_by_hop(std::string_view name) {
  for (const char* excluded :
       {"Connection", "Keep-Alive", "Transfer-Encoding", "TE", "Trailer", "Upgrade", "Expect",
        "Proxy-Connection", "Content-Length", "Host", "X-Txn", "X-Request-Id", "X-Remaining-Ms"}) {
    if (same_name(name, excluded)) return true;
  }
  return false;
}

// An encoded answer could not be inspected. In the OpenAI dialect, the request body is sent decoded.
bool is_coding_header(std::string_view name, Dialect dialect) {
  const bool decoded = dialect == Dialect::openai && same_name(name, "Content-Encoding");
  return decoded || same_name(name, "Accept-Encoding");
}

std::string request_head(const core::Target& target, const core::Payload& payload, Duration time_left,
                         Dialect dialect) {
  std::string text = payload.method + ' ' + payload.target + " HTTP/1.1\r\nHost: " + target.address;
  if (dialect == Dialect::platform) {
    text += "\r\nX-Txn: " + payload.id +
            "\r\nX-Remaining-Ms: " + std::to_string(std::max<std::int64_t>(time_left.count() / 1000, 1));
  } else {
    text += "\r\nX-Request-Id: " + payload.id;
  }
  for (const auto& [name, value] : payload.headers) {
    if (is_hop_by_hop(name) || is_coding_header(name, dialect)) continue;
    text.append("\r\n").append(name).append(": ").append(value);
  }
  return text + "\r\nContent-Length: " + std::to_string(payload.body.size()) + "\r\n\r\n";
}

std::string call_request(const core::Target& target, const char* method, const std::string& path) {
  return std::string(method) + ' ' + path + " HTTP/1.1\r\nHost: " + target.address +
         "\r\nContent-Length: 0\r\n\r\n";
}

// Classify a response by its Content-Type. One without that header is accepted as what was requested.
bool is_json(const ResponseParser& response) {
  return response.header("Content-Type").starts_with("application/json");
}
bool is_stream(const ResponseParser& response) {
  return response.header("Content-Type").starts_with("text/event-stream");
}

std::string encode_state(const ResponseParser::BodyPosition& position,
                         const sse::StreamScanner::State& scanner_state) {
  const auto bytes = [](const std::string& text) {
    return nlohmann::json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
  };
  std::string text;
  nlohmann::json::to_cbor({{"part", position.part},
                           {"left", position.remaining},
                           {"line", bytes(position.line)},
                           {"keep", position.keep_alive},
                           {"event_line", bytes(scanner_state.line)},
                           {"event_data", bytes(scanner_state.data)},
                           {"event_lines", scanner_state.data_lines},
                           {"skip", scanner_state.skip},
                           {"after_cr", scanner_state.after_cr},
                           {"failed", scanner_state.failed},
                           {"done", scanner_state.done},
                           {"at_start", scanner_state.at_start},
                           {"event_too_long", scanner_state.event_too_long},
                           {"may_end", scanner_state.may_end_answer}},
                          text);
  return text;
}

// Throws nlohmann::json::exception if `text` does not have the format of encode_state.
std::pair<ResponseParser::BodyPosition, sse::StreamScanner::State> decode_state(const std::string& text) {
  const nlohmann::json state = nlohmann::json::from_cbor(text);
  const auto bytes = [&state](const char* name) {
    const auto& value = state.at(name).get_binary();
    return std::string(value.begin(), value.end());
  };
  ResponseParser::BodyPosition position{state.at("part"), state.at("left"), bytes("line"), state.at("keep")};
  sse::StreamScanner::State scanner_state;
  scanner_state.line = bytes("event_line");
  scanner_state.data = bytes("event_data");
  scanner_state.data_lines = state.at("event_lines");
  scanner_state.skip = state.at("skip");
  scanner_state.after_cr = state.at("after_cr");
  scanner_state.failed = state.at("failed");
  // An earlier version does not say the rest. A stream is then taken for complete only by what follows.
  scanner_state.done = state.value("done", false);
  scanner_state.at_start = state.value("at_start", false);
  scanner_state.event_too_long = state.value("event_too_long", false);
  scanner_state.may_end_answer = state.value("may_end", true);
  return {std::move(position), std::move(scanner_state)};
}

// One attempt at a request. The verdict follows the instance's response. The client's answer begins only with
// the first complete event; in the OpenAI dialect only complete events are passed to the core.
class HttpAttempt : public core::Attempt, private Exchange::Events {
 public:
  HttpAttempt(Loop& loop, InstancePool& pool, const core::Target& target, const core::PayloadPtr& payload,
              core::Time not_after, core::ConnectionTerms terms, std::function<bool()> may_write,
              core::AttemptEvents& events, Dialect dialect)
      : loop_(loop),
        may_write_(std::move(may_write)),
        events_(events),
        dialect_(dialect),
        streamed_(payload->streamed),
        max_body_(dialect == Dialect::platform ? kMaxBodyBytes : kMaxChatBodyBytes),
        scanner_(payload->choices),
        exchange_(
            pool, target.address,
            [&loop, target, payload, not_after, dialect] {
              return request_head(target, *payload, not_after - loop.now(), dialect);
            },
            {payload, &payload->body}, terms, *this) {}

  // Continues a stream in the platform dialect that another process began.
  HttpAttempt(Loop& loop, InstancePool& pool, const std::string& address, int descriptor,
              const ResponseParser::BodyPosition& position, sse::StreamScanner::State scanner_state,
              core::AttemptEvents& events)
      : loop_(loop),
        events_(events),
        dialect_(Dialect::platform),
        streamed_(true),
        taken_over_(true),
        max_body_(kMaxBodyBytes),
        answer_started_(true),
        scanner_(std::move(scanner_state)),
        exchange_(pool, address, descriptor, position, *this) {}

  [[nodiscard]] std::optional<core::HandoverState> handover_state() const override {
    const int descriptor = dialect_ == Dialect::platform && streamed_ ? exchange_.handover_descriptor() : -1;
    if (descriptor < 0) return std::nullopt;
    const ResponseParser::BodyPosition position = *exchange_.response().position();
    const sse::StreamScanner::State scanner_state = scanner_.state();
    return core::HandoverState{descriptor, encode_state(position, scanner_state)};
  }
  [[nodiscard]] Progress progress() const override { return exchange_.progress(); }
  void pause(bool on) override { exchange_.pause(on); }
  [[nodiscard]] bool has_unread_input() const override { return exchange_.has_unread_input(); }

 private:
  bool may_write() override { return may_write_(); }
  void on_written() override { events_.on_written(); }
  void on_body(std::string bytes) override {
    const ResponseParser& response = exchange_.response();
    if (response.status() == 200 && streamed_ && !has_wrong_content_type()) {
      dialect_ == Dialect::openai ? on_events(bytes) : on_stream(std::move(bytes));
    } else {
      on_body_part(bytes);
    }
  }
  // Until an answer that is not streamed begins, only the request's deadline limits the wait for it.
  void on_body_part(std::string_view bytes) {
    end_timer_ = loop_.at(loop_.now() + core::kMaxAnswerSilence, [this] { on_end(ExchangeEnd::timed_out); });
    if (body_.size() + bytes.size() <= max_body_) {
      body_ += bytes;
    } else {
      too_large_ = true;
    }
  }
  // Forwards a stream as its bytes arrive. The attempt is bound to its client from the first complete event
  // on; if it breaks off before that, the request may be retried elsewhere or answered as failed.
  void on_stream(std::string bytes) {
    scanner_.feed(bytes);
    if (!answer_started_) {
      unsent_prefix_ += bytes;
      (void)splitter_.feed(
          bytes, [this](std::string_view event) { answer_started_ |= !sse::is_comment_only(event); });
      // Bounds memory: a longer first event is forwarded in parts.
      answer_started_ |= unsent_prefix_.size() > kMaxUnsentPrefixBytes;
      if (!answer_started_) return;
      bytes = std::exchange(unsent_prefix_, {});
    }
    events_.on_data(std::move(bytes));  // last: it may destroy this object
  }
  void on_events(std::string_view bytes) {
    if (answer_complete_) return;  // bytes after the end of the answer are ignored
    std::string complete_events;
    const bool within_limits = splitter_.feed(bytes, [&](std::string_view event) {
      if (answer_complete_) return;
      scanner_.feed(event);
      // A stream that consists of an error only has not begun, so another attempt is allowed.
      answer_complete_ = scanner_.done() || (scanner_.failed() && !answer_started_) || too_large_;
      if (scanner_.failed() && !answer_started_) return;
      // Comments do not begin the answer. They are held back until its first event.
      if (!answer_started_ && sse::is_comment_only(event)) {
        if (unsent_prefix_.size() + event.size() <= kMaxUnsentPrefixBytes) unsent_prefix_ += event;
        return;
      }
      if (!std::exchange(answer_started_, true)) complete_events += std::exchange(unsent_prefix_, {});
      complete_events += event;
      // The LF of the final line end may arrive separately, and bytes after the end are ignored.
      if (scanner_.done() && event.ends_with("\r\n\r")) complete_events += '\n';
    });
    if (!within_limits) too_large_ = answer_complete_ = true;
    // Instances need not end the response after the last event, and some do not.
    if (answer_complete_)
      end_timer_ = loop_.at(loop_.now() + (scanner_.done() ? kGraceAfterDone : Duration{0}),
                            [this] { on_end(ExchangeEnd::timed_out); });
    if (!complete_events.empty())
      events_.on_data(std::move(complete_events));  // last: it may destroy this object
  }
  void on_end(ExchangeEnd end) override {
    const bool complete = end == ExchangeEnd::complete;
    const ResponseParser& response = exchange_.response();
    end_timer_.reset();
    if (complete && !streamed_ && response.status() == 200) cached_tokens_ = sse::cached_tokens(body_);
    AttemptResult result;
    result.progress = exchange_.progress();
    result.closed_here = exchange_.closed_here();
    result.verdict = verdict(end);
    result.report = scanner_.report();
    result.ended_by_error_event = scanner_.failed();
    result.answer_end = answer_end(end, result.verdict);
    if (const auto report = response.header("X-Pressure"); !report.empty())
      result.report = sse::parse_report(report);
    result.cached_tokens = scanner_.reported_cached_tokens();
    if (result.verdict == Verdict::state_held) result.cached_tokens = sse::cached_tokens(body_).value_or(0);
    if (result.verdict == Verdict::rejected) {
      result.answer = std::make_shared<core::Answer>(
          core::Answer{response.status(), std::string(response.header("Content-Type")), body_});
    }
    if (result.verdict == Verdict::served && !streamed_) {
      // A non-streamed answer is forwarded only when it is known to be complete; until then it can be
      // retried.
      result.cached_tokens = cached_tokens_.value_or(0);
      result.last_data = std::move(body_);
    }
    // The client expects the closing [DONE], which some instances omit after a finish reason.
    if (result.verdict == Verdict::served && streamed_ && dialect_ == Dialect::openai && !scanner_.done()) {
      result.last_data = "data: [DONE]\n\n";
    }
    events_.on_ended(std::move(result));  // last: it may destroy this object
  }
  [[nodiscard]] std::size_t held_bytes() const override {
    if (answer_complete_) return 0;
    return sse::allocated_bytes(body_) + sse::allocated_bytes(unsent_prefix_) + splitter_.held_bytes() +
           scanner_.held_bytes();
  }
  void release_held_bytes() override {
    too_large_ = true;
    end_timer_.reset();
    static_cast<void>(std::exchange(body_, {}));
    static_cast<void>(std::exchange(unsent_prefix_, {}));
    static_cast<void>(std::exchange(splitter_, sse::EventSplitter{kMaxEventBytes}));
    static_cast<void>(std::exchange(scanner_, sse::StreamScanner()));
  }
  // A stream where a JSON object was requested, or the reverse.
  [[nodiscard]] bool has_wrong_content_type() const {
    const ResponseParser& response = exchange_.response();
    // The platform protocol answers 200 with a stream only. A stream that was taken over was checked before.
    if (dialect_ == Dialect::platform) return !taken_over_ && !is_stream(response);
    return streamed_ ? is_json(response) : is_stream(response);
  }
  // An error status is final even if the body breaks off. A stream must be complete. The body of a prefill
  // result only informs, so one that comes slowly is not waited for; a connection that breaks may take the
  // result along.
  [[nodiscard]] Verdict verdict(ExchangeEnd end) const {
    const bool complete = end == ExchangeEnd::complete && !too_large_;
    const ResponseParser& response = exchange_.response();
    if (!response.has_head()) return Verdict::broken;
    const int status = response.status();
    if (status == 200 && dialect_ == Dialect::openai) return chat_verdict(complete);
    if (status == 200) return stream_verdict(complete);
    // Only this header proves that nothing was executed; a bare 503 may come from an intermediary.
    const bool not_executed = response.header("X-Turned-Away") == "1";
    if (not_executed && (status == 503 || status == 504)) return Verdict::busy;
    if (dialect_ == Dialect::openai) {
      if (status == 429) return Verdict::busy;  // rate limit, applied before any work
    } else {
      if (status == 202) {
        const bool slow = end == ExchangeEnd::timed_out && !too_large_;
        return complete || slow ? Verdict::state_held : Verdict::broken;
      }
      if (status == 410 && not_executed) return Verdict::no_state;
    }
    const bool client_error = status >= 400 && status < 500 && status != 408 && status != 429;
    return client_error && complete ? Verdict::rejected : Verdict::error;
  }
  // The end of the framing alone does not prove that the stream is complete, nor does its last event.
  [[nodiscard]] Verdict stream_verdict(bool complete) const {
    const bool whole = complete && scanner_.done() && !scanner_.failed() && !has_wrong_content_type();
    return whole ? Verdict::served : Verdict::broken;
  }
  [[nodiscard]] Verdict chat_verdict(bool complete) const {
    if (has_wrong_content_type()) return Verdict::error;
    if (!streamed_) {
      if (!complete) return Verdict::broken;
      return cached_tokens_ ? Verdict::served : Verdict::error;  // not a JSON object, hence no valid answer
    }
    if (scanner_.failed()) return answer_started_ ? Verdict::broken : Verdict::error;
    if (scanner_.done()) return Verdict::served;  // regardless of how the connection ends afterwards
    return complete && scanner_.finished() && !splitter_.within_event() ? Verdict::served : Verdict::broken;
  }

  [[nodiscard]] core::AnswerEnd answer_end(ExchangeEnd end, Verdict verdict) const {
    using core::AnswerEnd;
    if (too_large_) return AnswerEnd::too_large;
    if (scanner_.failed()) return AnswerEnd::error_event;
    if (verdict == Verdict::served) return AnswerEnd::whole;
    switch (end) {
      case ExchangeEnd::complete:
        return exchange_.response().status() == 200 && streamed_ ? AnswerEnd::no_end_marker
                                                                 : AnswerEnd::whole;
      case ExchangeEnd::not_sent:
        return AnswerEnd::none;
      case ExchangeEnd::closed:
        return AnswerEnd::closed;
      case ExchangeEnd::reset:
        return AnswerEnd::reset;
      case ExchangeEnd::malformed:
        return AnswerEnd::malformed;
      case ExchangeEnd::timed_out:
        return AnswerEnd::timed_out;
    }
    return AnswerEnd::none;
  }

  Loop& loop_;
  std::function<bool()> may_write_;
  core::AttemptEvents& events_;
  Dialect dialect_;
  bool streamed_;
  bool taken_over_ = false;
  std::size_t max_body_;
  bool too_large_ = false;
  bool answer_started_ = false, answer_complete_ = false;
  sse::EventSplitter splitter_{kMaxEventBytes};
  sse::StreamScanner scanner_;
  std::string unsent_prefix_;
  std::string body_;
  std::optional<core::Tokens> cached_tokens_;  // of a non-streamed answer
  std::unique_ptr<core::Timer> end_timer_;
  Exchange exchange_;
};

}  // namespace

// A call without a request body: claim, release or probe.
class InstanceClient::Call : public Exchange::Events {
 public:
  using Done = std::function<void(const Call&, bool complete)>;
  Call(Loop& loop, InstancePool& pool, const std::string& address, std::string request,
       core::ConnectionTerms terms, std::function<bool()> may_write, Done done)
      : may_write_(std::move(may_write)),
        done_(std::move(done)),
        timeout_(loop.at(loop.now() + kCallTimeout, [this] { on_end(ExchangeEnd::timed_out); })),
        exchange_(std::make_unique<Exchange>(
            pool, address, [text = std::move(request)] { return text; }, nullptr, terms, *this)) {}

  [[nodiscard]] const ResponseParser& response() const { return exchange_->response(); }
  [[nodiscard]] Progress progress() const { return exchange_->progress(); }
  [[nodiscard]] const std::string& body() const { return body_; }

 private:
  bool may_write() override { return may_write_(); }
  void on_written() override {}
  void on_body(std::string bytes) override {
    if (body_.size() < kMaxBodyBytes) body_ += bytes;
  }
  [[nodiscard]] std::size_t held_bytes() const override { return sse::allocated_bytes(body_); }
  void release_held_bytes() override { static_cast<void>(std::exchange(body_, {})); }
  void on_end(ExchangeEnd end) override {
    const Done done = std::move(done_);
    timeout_.reset();
    done(*this, end == ExchangeEnd::complete);  // last: it destroys this object
  }

  std::function<bool()> may_write_;
  Done done_;
  std::unique_ptr<core::Timer> timeout_;
  std::string body_;
  std::unique_ptr<Exchange> exchange_;
};

InstanceClient::InstanceClient(Loop& loop, PoolLimits limits, Dialect dialect)
    : loop_(loop), pool_(loop, limits), dialect_(dialect) {}
InstanceClient::~InstanceClient() = default;

void InstanceClient::call(const core::Target& target, std::string request, core::ConnectionTerms terms,
                          std::function<bool()> may_write,
                          std::function<void(const Call&, bool complete)> done) {
  const auto position = calls_.emplace(calls_.end());
  *position =
      std::make_unique<Call>(loop_, pool_, target.address, std::move(request), terms, std::move(may_write),
                             [this, position, done = std::move(done)](const Call& call, bool complete) {
                               const std::unique_ptr<Call> mine = std::move(*position);
                               calls_.erase(position);
                               done(call, complete);
                             });
}

std::unique_ptr<core::Attempt> InstanceClient::start(const core::Target& target,
                                                     const core::PayloadPtr& payload, core::Time not_after,
                                                     core::ConnectionTerms terms,
                                                     std::function<bool()> may_write,
                                                     core::AttemptEvents& events) {
  return std::make_unique<HttpAttempt>(loop_, pool_, target, payload, not_after, terms, std::move(may_write),
                                       events, dialect_);
}

std::unique_ptr<core::Attempt> InstanceClient::take_over(const std::string& address,
                                                         const core::HandoverState& passed,
                                                         core::AttemptEvents& events) {
  try {
    auto [position, scanner_state] = decode_state(passed.state);
    return std::make_unique<HttpAttempt>(loop_, pool_, address, passed.descriptor, position,
                                         std::move(scanner_state), events);
  } catch (const nlohmann::json::exception&) {
    evutil_closesocket(passed.descriptor);
    return nullptr;
  }
}

void InstanceClient::reserve(const core::Target& target, const core::PayloadPtr& payload,
                             std::function<bool()> may_write,
                             std::function<void(core::ReservationAnswer)> done) {
  call(target, call_request(target, "POST", "/bootstrap/rooms/" + payload->id), kHarmlessCall,
       std::move(may_write), [done = std::move(done)](const Call& call, bool complete) {
         const int status = complete ? call.response().status() : 0;
         done(status == 200   ? core::ReservationAnswer::held
              : status == 409 ? core::ReservationAnswer::not_held
                              : core::ReservationAnswer::unknown);
       });
}

void InstanceClient::release(const core::Target& target, const core::PayloadPtr& payload,
                             core::ConnectionTerms terms, std::function<bool()> may_write,
                             std::function<void(bool)> done) {
  call(target, call_request(target, "DELETE", "/bootstrap/rooms/" + payload->id), terms, std::move(may_write),
       [done = std::move(done)](const Call& call, bool) { done(call.response().has_head()); });
}

void InstanceClient::probe(const core::Target& target, std::function<bool()> may_write,
                           std::function<void(const AttemptResult&)> done) {
  call(target, call_request(target, "GET", dialect_ == Dialect::platform ? "/-/load" : "/v1/models"),
       kHarmlessCall, std::move(may_write), [done = std::move(done)](const Call& call, bool complete) {
         AttemptResult result;
         result.progress = call.progress();
         const int status = complete ? call.response().status() : 0;
         result.verdict = status == 200   ? Verdict::served
                          : status == 503 ? Verdict::busy
                          : status == 0   ? Verdict::broken
                                          : Verdict::error;
         result.report = sse::parse_report(call.body());
         done(result);
       });
}

void InstanceClient::drop_connections(const core::Target& target) { pool_.close_idle(target.address); }

}  // namespace bankmux::net
