#include "net/instances/instance_client.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "net/instances/stream_scanner.hpp"

namespace bankmux::net {

using namespace std::chrono_literals;
using core::AttemptResult;
using core::Duration;
using core::Progress;
using core::Verdict;

namespace {

constexpr Duration kCallPatience = 1s;  // for calls without a body; an unknown read answers after 0.3 s
constexpr std::size_t kMostBody = 1024 * 1024;  // of an answer that is not a stream

// Headers that belong to one connection, and those that are worded anew.
bool hop_by_hop(std::string_view name) {
  for (const char* own :
       {"Connection", "Keep-Alive", "Transfer-Encoding", "TE", "Trailer", "Upgrade", "Expect",
        "Proxy-Connection", "Content-Length", "Host", "X-Txn", "X-Request-Id", "X-Remaining-Ms"}) {
    if (same_name(name, own)) return true;
  }
  return false;
}

std::string request_text(const core::Target& target, const core::Payload& payload, Duration patience,
                         Dialect dialect) {
  std::string text = payload.method + ' ' + payload.target + " HTTP/1.1\r\nHost: " + target.address;
  if (dialect == Dialect::platform) {
    text += "\r\nX-Txn: " + payload.id +
            "\r\nX-Remaining-Ms: " + std::to_string(std::max<std::int64_t>(patience.count() / 1000, 1));
  } else {
    text += "\r\nX-Request-Id: " + payload.id;
  }
  for (const auto& [name, value] : payload.headers) {
    if (!hop_by_hop(name)) text += "\r\n" + name + ": " + value;
  }
  text += "\r\nContent-Length: " + std::to_string(payload.body.size()) + "\r\n\r\n";
  return text + payload.body;
}

std::string call_text(const core::Target& target, const char* method, const std::string& path) {
  return std::string(method) + ' ' + path + " HTTP/1.1\r\nHost: " + target.address +
         "\r\nContent-Length: 0\r\n\r\n";
}

class HttpAttempt : public core::Attempt, private Exchange::Events {
 public:
  HttpAttempt(InstancePool& pool, const core::Target& target, const core::Payload& payload, Duration patience,
              bool repeatable, std::function<bool()> may_write, core::AttemptEvents& events, Dialect dialect)
      : may_write_(std::move(may_write)),
        events_(events),
        dialect_(dialect),
        streamed_(payload.streamed),
        exchange_(pool, target.address, request_text(target, payload, patience, dialect), repeatable, *this) {
  }

  [[nodiscard]] Progress progress() const override { return exchange_.progress(); }

 private:
  bool may_write() override { return may_write_(); }
  void on_written() override { events_.on_written(); }
  void on_body(std::string bytes) override {
    if (exchange_.response().status() == 200 && streamed_) {
      scanner_.feed(bytes);
      events_.on_data(std::move(bytes));
    } else if (body_.size() + bytes.size() <= kMostBody) {
      body_ += bytes;
    } else {
      too_long_ = true;
    }
  }
  void on_end(bool whole) override {
    const ResponseParser& response = exchange_.response();
    AttemptResult result;
    result.progress = exchange_.progress();
    result.verdict = verdict(whole && !too_long_);
    result.report = scanner_.report();
    result.told = scanner_.failed();
    if (const auto report = response.header("X-Pressure"); !report.empty())
      result.report = parse_report(report);
    result.found = scanner_.found();
    if (result.verdict == Verdict::state_held) result.found = cached_tokens(body_);
    if (result.verdict == Verdict::rejected) {
      result.answer = std::make_shared<core::Answer>(
          core::Answer{response.status(), std::string(response.header("Content-Type")), body_});
    }
    if (result.verdict == Verdict::served && !streamed_) {
      // A whole answer is handed on only now that it is known to be whole: until then it could be tried
      // again.
      result.found = cached_tokens(body_);
      events_.on_data(std::move(body_));
    }
    events_.on_ended(std::move(result));
  }
  // What the head says is final, even if its body breaks off; a stream and a read must come whole.
  [[nodiscard]] Verdict verdict(bool whole) const {
    const ResponseParser& response = exchange_.response();
    if (!response.has_head()) return Verdict::broken;
    const int status = response.status();
    if (status == 200) return !whole || scanner_.failed() ? Verdict::broken : Verdict::served;
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

  std::function<bool()> may_write_;
  core::AttemptEvents& events_;
  Dialect dialect_;
  bool streamed_;
  bool too_long_ = false;
  StreamScanner scanner_;
  std::string body_;
  Exchange exchange_;
};

}  // namespace

eiderarch::LoadReport parse_report(std::string_view text) {
  using Field = eiderarch::ReportField;
  static const std::pair<std::string_view, Field> kNames[] = {
      {"inflight", Field::in_flight},    {"queue", Field::queued},     {"util", Field::utilisation},
      {"latency_ms", Field::latency_ms}, {"qps", Field::rate},         {"eps", Field::errors},
      {"x0", Field::memory_share},       {"x1", Field::queued_ktokens}};
  eiderarch::LoadReport report;
  while (!text.empty()) {
    const std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(item.size() + 1, text.size()));
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos) continue;
    std::string_view key = item.substr(0, equals);
    while (!key.empty() && key.front() == ' ') key.remove_prefix(1);
    const std::string value(item.substr(equals + 1));
    char* end = nullptr;
    const double number = std::strtod(value.c_str(), &end);
    if (end == value.c_str()) continue;
    for (const auto& [name, field] : kNames) {
      if (name == key) report.push_back({field, number});
    }
  }
  return report;
}

// A call of one's own, without a request's body behind it: a claim, a release or a probe.
class InstanceClient::Call : public Exchange::Events {
 public:
  using Done = std::function<void(const Call&, bool whole)>;
  Call(Loop& loop, InstancePool& pool, const std::string& address, std::string request,
       std::function<bool()> may_write, Done done)
      : may_write_(std::move(may_write)),
        done_(std::move(done)),
        limit_(loop.at(loop.now() + kCallPatience, [this] { on_end(false); })),
        exchange_(std::make_unique<Exchange>(pool, address, std::move(request), true, *this)) {}

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

void InstanceClient::call(const core::Target& target, std::string request, std::function<bool()> may_write,
                          std::function<void(const Call&, bool whole)> done) {
  const auto place = calls_.emplace(calls_.end());
  *place = std::make_unique<Call>(loop_, pool_, target.address, std::move(request), std::move(may_write),
                                  [this, place, done = std::move(done)](const Call& call, bool whole) {
                                    const std::unique_ptr<Call> mine = std::move(*place);
                                    calls_.erase(place);
                                    done(call, whole);
                                  });
}

std::unique_ptr<core::Attempt> InstanceClient::start(const core::Target& target,
                                                     const core::PayloadPtr& payload, Duration patience,
                                                     bool repeatable, std::function<bool()> may_write,
                                                     core::AttemptEvents& events) {
  return std::make_unique<HttpAttempt>(pool_, target, *payload, patience, repeatable, std::move(may_write),
                                       events, dialect_);
}

void InstanceClient::claim(const core::Target& target, const core::PayloadPtr& payload,
                           std::function<bool()> may_write, std::function<void(core::ClaimAnswer)> done) {
  call(target, call_text(target, "POST", "/bootstrap/rooms/" + payload->id), std::move(may_write),
       [done = std::move(done)](const Call& call, bool whole) {
         const int status = whole ? call.response().status() : 0;
         done(status == 200   ? core::ClaimAnswer::held
              : status == 409 ? core::ClaimAnswer::not_held
                              : core::ClaimAnswer::unknown);
       });
}

void InstanceClient::release(const core::Target& target, const core::PayloadPtr& payload,
                             std::function<void(bool)> done) {
  call(
      target, call_text(target, "DELETE", "/bootstrap/rooms/" + payload->id), [] { return true; },
      [done = std::move(done)](const Call& call, bool) { done(call.response().has_head()); });
}

void InstanceClient::probe(const core::Target& target, std::function<void(const AttemptResult&)> done) {
  call(
      target, call_text(target, "GET", dialect_ == Dialect::platform ? "/-/load" : "/v1/models"),
      [] { return true; },
      [done = std::move(done)](const Call& call, bool whole) {
        AttemptResult result;
        result.progress = call.progress();
        const int status = whole ? call.response().status() : 0;
        result.verdict = status == 200   ? Verdict::served
                         : status == 503 ? Verdict::turned_away
                         : status == 0   ? Verdict::broken
                                         : Verdict::error;
        result.report = parse_report(call.body());
        done(result);
      });
}

void InstanceClient::forget(const core::Target& target) { pool_.drop(target.address); }

}  // namespace bankmux::net
