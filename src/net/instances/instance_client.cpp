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

constexpr Duration kCallPatience = 1s;  // for calls without a body; an unknown read answers after 0.3 s
// Calls without a body have no effect that a break or a late answer could double.
constexpr core::ConnectionTerms kHarmless{.trouble_harmless = true};
constexpr std::size_t kMostBody = 1024 * 1024;  // of an answer that is not a stream
constexpr std::size_t kMostAnswer =
    16 * 1024 * 1024;                                // of one in the chat dialect, which is what is asked for
constexpr std::size_t kMostEvent = 2 * 1024 * 1024;  // images and log probabilities come in one
constexpr std::size_t kMostLead = 16 * 1024;         // kept of a stream until its first event is whole
constexpr Duration kAfterDone = 250ms;  // in which a response may end by itself, and its connection be kept

// Headers that belong to one connection, and those that are worded anew.
bool hop_by_hop(std::string_view name) {
  for (const char* own :
       {"Connection", "Keep-Alive", "Transfer-Encoding", "TE", "Trailer", "Upgrade", "Expect",
        "Proxy-Connection", "Content-Length", "Host", "X-Txn", "X-Request-Id", "X-Remaining-Ms"}) {
    if (same_name(name, own)) return true;
  }
  return false;
}

// The body goes out as it was expanded, and an answer in another coding could not be looked at.
bool recoded(std::string_view name) {
  return same_name(name, "Content-Encoding") || same_name(name, "Accept-Encoding");
}

std::string request_head(const core::Target& target, const core::Payload& payload, Duration patience,
                         Dialect dialect) {
  std::string text = payload.method + ' ' + payload.target + " HTTP/1.1\r\nHost: " + target.address;
  if (dialect == Dialect::platform) {
    text += "\r\nX-Txn: " + payload.id +
            "\r\nX-Remaining-Ms: " + std::to_string(std::max<std::int64_t>(patience.count() / 1000, 1));
  } else {
    text += "\r\nX-Request-Id: " + payload.id;
  }
  for (const auto& [name, value] : payload.headers) {
    if (hop_by_hop(name) || (dialect == Dialect::openai && recoded(name))) continue;
    text.append("\r\n").append(name).append(": ").append(value);
  }
  return text + "\r\nContent-Length: " + std::to_string(payload.body.size()) + "\r\n\r\n";
}

std::string call_text(const core::Target& target, const char* method, const std::string& path) {
  return std::string(method) + ' ' + path + " HTTP/1.1\r\nHost: " + target.address +
         "\r\nContent-Length: 0\r\n\r\n";
}

// A whole answer's form by its head. Boxes that do not say are believed.
bool is_json(const ResponseParser& response) {
  return response.header("Content-Type").starts_with("application/json");
}
bool is_stream(const ResponseParser& response) {
  return response.header("Content-Type").starts_with("text/event-stream");
}

std::string write_state(const ResponseParser::Place& place, const sse::StreamScanner::Open& open) {
  const auto bytes = [](const std::string& text) {
    return nlohmann::json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
  };
  std::string text;
  nlohmann::json::to_cbor({{"part", place.part},
                           {"left", place.left},
                           {"line", bytes(place.line)},
                           {"keep", place.keep_alive},
                           {"event_line", bytes(open.line)},
                           {"event_data", bytes(open.data)},
                           {"event_lines", open.data_lines},
                           {"skip", open.skip},
                           {"after_cr", open.after_cr},
                           {"failed", open.failed}},
                          text);
  return text;
}

// Throws where it is not what write_state writes.
std::pair<ResponseParser::Place, sse::StreamScanner::Open> read_state(const std::string& text) {
  const nlohmann::json state = nlohmann::json::from_cbor(text);
  const auto bytes = [&state](const char* name) {
    const auto& value = state.at(name).get_binary();
    return std::string(value.begin(), value.end());
  };
  ResponseParser::Place place{state.at("part"), state.at("left"), bytes("line"), state.at("keep")};
  sse::StreamScanner::Open open{bytes("event_line"), bytes("event_data"),  state.at("event_lines"),
                                state.at("skip"),    state.at("after_cr"), state.at("failed")};
  return {std::move(place), std::move(open)};
}

// One attempt. Its end says what the instance said. An attempt has begun its client's answer only once a
// whole event is there; in the chat dialect the core is given whole events alone.
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
        most_body_(dialect == Dialect::platform ? kMostBody : kMostAnswer),
        exchange_(
            pool, target.address,
            [&loop, target, payload, not_after, dialect] {
              return request_head(target, *payload, not_after - loop.now(), dialect);
            },
            {payload, &payload->body}, terms, *this) {}

  // In the middle of a stream of the platform's, that another process began.
  HttpAttempt(Loop& loop, InstancePool& pool, const std::string& address, int descriptor,
              const ResponseParser::Place& place, sse::StreamScanner::Open open, core::AttemptEvents& events)
      : loop_(loop),
        events_(events),
        dialect_(Dialect::platform),
        streamed_(true),
        taken_over_(true),
        most_body_(kMostBody),
        begun_(true),
        scanner_(std::move(open)),
        exchange_(pool, address, descriptor, place, *this) {}

  [[nodiscard]] std::optional<core::Passed> passed() const override {
    const int descriptor = dialect_ == Dialect::platform && streamed_ ? exchange_.passable() : -1;
    if (descriptor < 0) return std::nullopt;
    const ResponseParser::Place place = *exchange_.response().place();
    const sse::StreamScanner::Open open = scanner_.open();
    return core::Passed{descriptor, write_state(place, open)};
  }
  [[nodiscard]] Progress progress() const override { return exchange_.progress(); }
  void pause(bool on) override { exchange_.pause(on); }

 private:
  bool may_write() override { return may_write_(); }
  void on_written() override { events_.on_written(); }
  void on_body(std::string bytes) override {
    const ResponseParser& response = exchange_.response();
    if (response.status() == 200 && streamed_ && !wrong_form()) {
      dialect_ == Dialect::openai ? on_events(bytes) : on_stream(std::move(bytes));
    } else if (body_.size() + bytes.size() <= most_body_) {
      body_ += bytes;
    } else {
      too_long_ = true;
    }
  }
  // The bytes of a stream that is passed on as it comes. It belongs to its client from its first whole event
  // on: one that breaks before may still be made elsewhere, or be answered as failed.
  void on_stream(std::string bytes) {
    scanner_.feed(bytes);
    if (!begun_) {
      lead_ += bytes;
      (void)splitter_.feed(bytes, [this](std::string_view event) { begun_ |= !sse::only_comments(event); });
      begun_ |= lead_.size() > kMostLead;  // guards memory: an event that long is passed on in parts
      if (!begun_) return;
      bytes = std::exchange(lead_, {});
    }
    events_.on_data(std::move(bytes));  // last: it may destroy this
  }
  void on_events(std::string_view bytes) {
    if (over_) return;  // what comes after an answer's end is nobody's
    std::string whole;
    const bool sound = splitter_.feed(bytes, [&](std::string_view event) {
      if (over_) return;
      scanner_.feed(event);
      // An answer that is nothing but an error has not begun: another attempt may.
      over_ = scanner_.done() || (scanner_.failed() && !begun_) || too_long_;
      if (scanner_.failed() && !begun_) return;
      // Comments are no answer yet. They wait for its first event.
      if (!begun_ && sse::only_comments(event)) {
        if (lead_.size() + event.size() <= kMostLead) lead_ += event;
        return;
      }
      if (!std::exchange(begun_, true)) whole += std::exchange(lead_, {});
      whole += event;
      // The LF of the answer's last line end may come by itself, and what comes after its end is nobody's.
      if (scanner_.done() && event.ends_with("\r\n\r")) whole += '\n';
    });
    if (!sound) too_long_ = over_ = true;
    // The box need not end its response, and some do not.
    if (over_)
      end_ = loop_.at(loop_.now() + (scanner_.done() ? kAfterDone : Duration{0}), [this] { on_end(false); });
    if (!whole.empty()) events_.on_data(std::move(whole));  // last: it may destroy this
  }
  void on_end(bool whole) override {
    const ResponseParser& response = exchange_.response();
    end_.reset();
    if (whole && !streamed_ && response.status() == 200) whole_found_ = sse::cached_tokens(body_);
    AttemptResult result;
    result.progress = exchange_.progress();
    result.closed_here = exchange_.closed_here();
    result.verdict = verdict(whole && !too_long_);
    result.report = scanner_.report();
    result.told = scanner_.failed();
    if (const auto report = response.header("X-Pressure"); !report.empty())
      result.report = sse::parse_report(report);
    result.found = scanner_.found();
    if (result.verdict == Verdict::state_held) result.found = sse::cached_tokens(body_).value_or(0);
    if (result.verdict == Verdict::rejected) {
      result.answer = std::make_shared<core::Answer>(
          core::Answer{response.status(), std::string(response.header("Content-Type")), body_});
    }
    if (result.verdict == Verdict::served && !streamed_) {
      // A whole answer is handed on only now that it is known to be whole: until then it could be tried
      // again.
      result.found = whole_found_.value_or(0);
      events_.on_data(std::move(body_));
    }
    // A box that says how its answer finished and leaves out the last word: the client is owed it.
    if (result.verdict == Verdict::served && streamed_ && dialect_ == Dialect::openai && !scanner_.done()) {
      events_.on_data("data: [DONE]\n\n");
    }
    events_.on_ended(std::move(result));
  }
  // A stream where a whole answer was asked for, or the reverse.
  [[nodiscard]] bool wrong_form() const {
    const ResponseParser& response = exchange_.response();
    // The protocol's one form of a 200; another process has looked at that of a stream which it passed on.
    if (dialect_ == Dialect::platform) return !taken_over_ && !is_stream(response);
    return streamed_ ? is_json(response) : is_stream(response);
  }
  // What the head says is final, even if its body breaks off; a stream and a read must come whole.
  [[nodiscard]] Verdict verdict(bool whole) const {
    const ResponseParser& response = exchange_.response();
    if (!response.has_head()) return Verdict::broken;
    const int status = response.status();
    if (status == 200 && dialect_ == Dialect::openai) return chat_verdict(whole);
    if (status == 200) return !whole || wrong_form() || scanner_.failed() ? Verdict::broken : Verdict::served;
    // Only this word proves that nothing ran; a bare 503 may come from something in between.
    const bool away = response.header("X-Turned-Away") == "1";
    if (away && (status == 503 || status == 504)) return Verdict::turned_away;
    if (dialect_ == Dialect::openai) {
      if (status == 429) return Verdict::turned_away;  // over its limit, before any work
    } else {
      if (status == 202) return whole ? Verdict::state_held : Verdict::broken;
      if (status == 410 && away) return Verdict::no_state;
    }
    const bool for_client = status >= 400 && status < 500 && status != 408 && status != 429;
    return for_client && whole ? Verdict::rejected : Verdict::error;
  }
  [[nodiscard]] Verdict chat_verdict(bool whole) const {
    if (wrong_form()) return Verdict::error;
    if (!streamed_) {
      if (!whole) return Verdict::broken;
      return whole_found_ ? Verdict::served : Verdict::error;  // not an object: no answer
    }
    if (scanner_.failed()) return begun_ ? Verdict::broken : Verdict::error;
    if (scanner_.done()) return Verdict::served;  // however its connection ends after that
    return whole && scanner_.finished() && !splitter_.within_event() ? Verdict::served : Verdict::broken;
  }

  Loop& loop_;
  std::function<bool()> may_write_;
  core::AttemptEvents& events_;
  Dialect dialect_;
  bool streamed_;
  bool taken_over_ = false;
  std::size_t most_body_;
  bool too_long_ = false;
  bool begun_ = false, over_ = false;
  sse::EventSplitter splitter_{kMostEvent};
  sse::StreamScanner scanner_;
  std::string lead_;
  std::string body_;
  std::optional<core::Tokens> whole_found_;  // in a whole answer
  std::unique_ptr<core::Timer> end_;
  Exchange exchange_;
};

}  // namespace

// A call of one's own, without a request's body behind it: a claim, a release or a probe.
class InstanceClient::Call : public Exchange::Events {
 public:
  using Done = std::function<void(const Call&, bool whole)>;
  Call(Loop& loop, InstancePool& pool, const std::string& address, std::string request,
       core::ConnectionTerms terms, std::function<bool()> may_write, Done done)
      : may_write_(std::move(may_write)),
        done_(std::move(done)),
        limit_(loop.at(loop.now() + kCallPatience, [this] { on_end(false); })),
        exchange_(std::make_unique<Exchange>(
            pool, address, [text = std::move(request)] { return text; }, nullptr, terms, *this)) {}

  [[nodiscard]] const ResponseParser& response() const { return exchange_->response(); }
  [[nodiscard]] Progress progress() const { return exchange_->progress(); }
  [[nodiscard]] const std::string& body() const { return body_; }

 private:
  bool may_write() override { return may_write_(); }
  void on_written() override {}
  void on_body(std::string bytes) override {
    if (body_.size() < kMostBody) body_ += bytes;
  }
  void on_end(bool whole) override {
    const Done done = std::move(done_);
    limit_.reset();
    done(*this, whole);  // last: it destroys this call
  }

  std::function<bool()> may_write_;
  Done done_;
  std::unique_ptr<core::Timer> limit_;
  std::string body_;
  std::unique_ptr<Exchange> exchange_;
};

InstanceClient::InstanceClient(Loop& loop, PoolLimits limits, Dialect dialect)
    : loop_(loop), pool_(loop, limits), dialect_(dialect) {}
InstanceClient::~InstanceClient() = default;

void InstanceClient::call(const core::Target& target, std::string request, core::ConnectionTerms terms,
                          std::function<bool()> may_write,
                          std::function<void(const Call&, bool whole)> done) {
  const auto place = calls_.emplace(calls_.end());
  *place =
      std::make_unique<Call>(loop_, pool_, target.address, std::move(request), terms, std::move(may_write),
                             [this, place, done = std::move(done)](const Call& call, bool whole) {
                               const std::unique_ptr<Call> mine = std::move(*place);
                               calls_.erase(place);
                               done(call, whole);
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
                                                         const core::Passed& passed,
                                                         core::AttemptEvents& events) {
  try {
    auto [place, open] = read_state(passed.state);
    return std::make_unique<HttpAttempt>(loop_, pool_, address, passed.descriptor, place, std::move(open),
                                         events);
  } catch (const nlohmann::json::exception&) {
    evutil_closesocket(passed.descriptor);
    return nullptr;
  }
}

void InstanceClient::claim(const core::Target& target, const core::PayloadPtr& payload,
                           std::function<bool()> may_write, std::function<void(core::ClaimAnswer)> done) {
  call(target, call_text(target, "POST", "/bootstrap/rooms/" + payload->id), kHarmless, std::move(may_write),
       [done = std::move(done)](const Call& call, bool whole) {
         const int status = whole ? call.response().status() : 0;
         done(status == 200   ? core::ClaimAnswer::held
              : status == 409 ? core::ClaimAnswer::not_held
                              : core::ClaimAnswer::unknown);
       });
}

void InstanceClient::release(const core::Target& target, const core::PayloadPtr& payload,
                             core::ConnectionTerms terms, std::function<bool()> may_write,
                             std::function<void(bool)> done) {
  call(target, call_text(target, "DELETE", "/bootstrap/rooms/" + payload->id), terms, std::move(may_write),
       [done = std::move(done)](const Call& call, bool) { done(call.response().has_head()); });
}

void InstanceClient::probe(const core::Target& target, std::function<bool()> may_write,
                           std::function<void(const AttemptResult&)> done) {
  call(target, call_text(target, "GET", dialect_ == Dialect::platform ? "/-/load" : "/v1/models"), kHarmless,
       std::move(may_write), [done = std::move(done)](const Call& call, bool whole) {
         AttemptResult result;
         result.progress = call.progress();
         const int status = whole ? call.response().status() : 0;
         result.verdict = status == 200   ? Verdict::served
                          : status == 503 ? Verdict::turned_away
                          : status == 0   ? Verdict::broken
                                          : Verdict::error;
         result.report = sse::parse_report(call.body());
         done(result);
       });
}

void InstanceClient::forget(const core::Target& target) { pool_.drop(target.address); }

}  // namespace bankmux::net
