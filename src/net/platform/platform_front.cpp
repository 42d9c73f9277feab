#include "net/platform/platform_front.hpp"

#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

#include "codec.hpp"
#include "log/log.hpp"
#include "net/http/http_reply.hpp"
#include "net/http/payload.hpp"

namespace bankmux::net {

namespace {

constexpr std::size_t kMaxValueLength = 128;
constexpr std::int64_t kMaxRemainingMs = 3'600'000;
constexpr std::int64_t kMaxTokens = 100'000'000;

// A header that violates the protocol; `what` names it.
struct BadHeader {
  std::string what;
};

std::int64_t parse_integer(std::string_view text, std::int64_t max, const std::string& name) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size() || value < 0 || value > max) {
    throw BadHeader{name + " is not a whole number in range"};
  }
  return value;
}

std::string required_header(const IncomingRequest& incoming, const char* name) {
  std::string value = incoming.header(name);
  const auto count =
      std::ranges::count_if(incoming.headers(), [name](const auto& h) { return same_name(h.first, name); });
  if (count > 1) throw BadHeader{std::string(name) + " is there more than once"};
  if (value.empty()) throw BadHeader{std::string(name) + " is missing"};
  if (value.size() > kMaxValueLength) throw BadHeader{std::string(name) + " is too long"};
  return value;
}

// The id becomes part of a path at the instances.
std::string request_id(const IncomingRequest& incoming) {
  std::string value = required_header(incoming, "X-Txn");
  const bool valid = std::ranges::all_of(
      value, [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; });
  if (!valid) throw BadHeader{"X-Txn holds other than letters, digits, '-', '_' and '.'"};
  return value;
}

void parse_labels(std::string_view labels, eiderarch::RequestArrived& facts) {
  bool prompt_length_seen = false;
  while (!labels.empty()) {
    const std::string_view item = labels.substr(0, labels.find(','));
    labels.remove_prefix(std::min(item.size() + 1, labels.size()));
    const std::size_t equals = item.find('=');
    if (equals == std::string_view::npos) throw BadHeader{"X-Labels holds an item without '='"};
    const std::string_view name = item.substr(0, equals);
    const std::string_view value = item.substr(equals + 1);
    if (name == "prefix") {
      facts.prefix = eiderarch::wire::hash_key(std::string(value));
    } else if (name == "prompt_len") {
      facts.prompt_tokens = parse_integer(value, kMaxTokens, "X-Labels: prompt_len");
      prompt_length_seen = true;
    } else if (name == "prefix_len") {
      facts.prefix_tokens = parse_integer(value, kMaxTokens, "X-Labels: prefix_len");
    } else if (name == "max_out") {
      facts.max_output = parse_integer(value, kMaxTokens, "X-Labels: max_out");
    }
  }
  if (!prompt_length_seen) throw BadHeader{"X-Labels lacks prompt_len"};
}

core::ClientRequest parse_request(IncomingRequest& incoming, core::Time now,
                                  const std::vector<std::string>& classes,
                                  const std::vector<std::string>& tenants) {
  core::ClientRequest ask;
  auto payload = std::make_shared<core::Payload>();
  payload->id = ask.name = request_id(incoming);
  const std::string lane = required_header(incoming, "X-Lane");
  const auto class_at = std::ranges::find(classes, lane);
  if (class_at == classes.end()) throw BadHeader{"X-Lane names no class: '" + lane + "'"};
  ask.facts.request_class = std::uint32_t(class_at - classes.begin());
  // The tenant, if the settings have any; a name they do not contain maps to an index without a share.
  const std::string tenant = incoming.header("X-Org");
  if (tenant.size() > kMaxValueLength) throw BadHeader{"X-Org is too long"};
  ask.facts.tenant = std::uint32_t(std::ranges::find(tenants, tenant) - tenants.begin());
  ask.facts.session = eiderarch::wire::hash_key(required_header(incoming, "X-Entity"));
  const auto remaining_ms =
      parse_integer(required_header(incoming, "X-Remaining-Ms"), kMaxRemainingMs, "X-Remaining-Ms");
  ask.waited = incoming.waited();
  // The client's time counts from the last byte of its request, which may have waited here unread.
  ask.facts.deadline = now - ask.waited + std::chrono::milliseconds(remaining_ms);
  parse_labels(incoming.header("X-Labels"), ask.facts);
  const std::string resent = incoming.header("X-Resent");
  ask.facts.client_retry = resent == "1";
  ask.facts.resumed = resent == "again";
  payload->method = incoming.method();
  payload->target = incoming.target();
  payload->headers = incoming.headers();
  payload->body = incoming.take_body();
  ask.payload = std::move(payload);
  return ask;
}

// Releases the request's id once the final answer is sent, and remembers the id of a request that must not be
// executed again. The id of a stream that another process continues
// stays reserved here until this process ends: the other one may not have read it yet.
class PlatformReply : public HttpReply {
 public:
  PlatformReply(std::unique_ptr<IncomingRequest> incoming, std::shared_ptr<OpenRequestIds> open,
                std::string name, bool repeat_safe)
      : HttpReply(std::move(incoming)),
        open_ids_(std::move(open)),
        name_(std::move(name)),
        repeat_safe_(repeat_safe) {}
  ~PlatformReply() override {
    if (!handed_over_) open_ids_->release(name_);
  }
  void on_sending() override {
    if (!repeat_safe_ && executions_++ == 0) open_ids_->note_execution(name_);
  }
  void on_not_executed() override {
    if (!repeat_safe_ && --executions_ == 0) open_ids_->forget_execution(name_);
  }
  // A stream of the platform protocol needs no state but its bytes to be continued.
  [[nodiscard]] std::optional<core::HandoverState> handover_state() const override {
    return incoming_->handover_state();
  }
  void detach_after_handover() override {
    handed_over_ = true;
    incoming_->detach_after_handover();
  }

 private:
  std::shared_ptr<OpenRequestIds> open_ids_;
  std::string name_;
  bool repeat_safe_;
  int executions_ = 0;  // attempts that may have executed the request
  bool handed_over_ = false;
};

}  // namespace

void PlatformFront::handle(std::unique_ptr<IncomingRequest> incoming) {
  const std::string path = incoming->path();
  if (path == "/-/ready" || path == "/-/healthy") {
    incoming->answer(ready_ ? 200 : 503, {}, ready_ ? "ready\n" : "going down\n");
    return;
  }
  if (path.starts_with("/-/")) {
    incoming->answer(404, {}, "no such page\n");
    return;
  }
  if (incoming->method() == "HEAD") {  // the length of its answer would differ from that of a GET
    incoming->answer(405, {}, "");
    return;
  }
  core::ClientRequest ask;
  try {
    ask = parse_request(*incoming, scheduler_.now(), classes_, tenants_);
  } catch (const BadHeader& bad) {
    incoming->answer(400, {}, bad.what + "\n");
    return;
  }
  const std::string name = ask.payload->id;
  if (!open_ids_->reserve(name)) {
    incoming->answer(409, {}, "a request with this X-Txn is open\n");
    return;
  }
  if (open_ids_->may_have_run(name)) {
    open_ids_->release(name);
    log::write("request", "an id that came again is not executed again", [&]() -> nlohmann::json {
      return {{"request_id", name}};
    });
    incoming->answer(409, {}, "a request with this X-Txn may have run\n");
    return;
  }
  IncomingRequest& client = *incoming;
  const bool repeat_safe = conductor_.repeat_safe(ask.facts.request_class);
  const core::RequestId id = conductor_.accept(
      std::move(ask), std::make_unique<PlatformReply>(std::move(incoming), open_ids_, name, repeat_safe));
  if (id != 0) client.on_disconnect([this, id] { conductor_.client_gone(id); });
}

void PlatformFront::take_over(const std::string& name, core::RunningStream stream, HttpServer& clients,
                              const core::Conductor::MakeAttempt& make) {
  std::unique_ptr<IncomingRequest> incoming = clients.take_over(stream.client);
  if (incoming == nullptr || stream.client_request.facts.request_class >= classes_.size() ||
      !open_ids_->take_over(name)) {
    // Nothing else owns the instance's descriptor yet, so it is closed here.
    (void)close(stream.instance.descriptor);
    return;
  }
  auto payload = std::make_shared<core::Payload>();
  payload->id = stream.client_request.name = name;
  stream.client_request.payload = std::move(payload);
  // Registered first: if the attempt cannot be created, the request ends before its id is known here.
  auto id = std::make_shared<core::RequestId>(0);
  incoming->on_disconnect([this, id] { conductor_.client_gone(*id); });
  const bool repeat_safe = conductor_.repeat_safe(stream.client_request.facts.request_class);
  if (!repeat_safe) open_ids_->note_execution(name);  // a process before may not have shared it
  *id = conductor_.take_over(
      stream, std::make_unique<PlatformReply>(std::move(incoming), open_ids_, name, repeat_safe), make);
}

}  // namespace bankmux::net
