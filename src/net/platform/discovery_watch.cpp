#include "net/platform/discovery_watch.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <random>
#include <utility>

#include "codec.hpp"
#include "config/address.hpp"
#include "log/log.hpp"
#include "net/platform/backoff.hpp"

namespace bankmux::net {

using namespace std::chrono_literals;

namespace {

constexpr int kReadTimeoutSeconds = 3;  // discovery sends an empty line every 2 s
// A local agent answers at once. While it is down it is silent, and calls made then may never be answered.
constexpr core::Duration kResponseTimeout = 400ms;
constexpr core::Duration kDelayAfterMalformed = 1s;
// Silence of a working watch is noticed after 3 s, and the changes it misses must take effect within 6 s. The
// whole fleet therefore reopens within this time, even if refusals would call for longer waits.
constexpr core::Duration kMaxReopenDelay = 1500ms;
constexpr std::size_t kMaxLineBytes = config::kMaxListEntries * 512;
constexpr std::size_t kMaxChunkBytes = 2 * kMaxLineBytes;  // a whole list, and the changes after it
constexpr std::size_t kMaxHeadBytes = 64 * 1024;
constexpr std::size_t kPieceBytes = 16 * 1024;  // of a chunk, read and freed at once
// Of a list of the maximum number of instances, which have nine fields each. A parsed value takes many times
// the memory of its text.
constexpr std::size_t kMaxListValues = config::kMaxListEntries * 12;

// Number of values in a JSON text, counted from above: characters within strings count as well.
std::size_t count_values(std::string_view text) {
  return std::size_t(std::ranges::count_if(text, [](char c) { return c == ',' || c == '[' || c == '{'; }));
}

}  // namespace

DiscoveryWatch::DiscoveryWatch(Loop& loop, const config::Config& config, UpdateHandler on_update)
    : loop_(loop),
      config_(config),
      address_(config.discovery),
      on_update_(std::move(on_update)),
      version_(config.initial_list_version),
      // A service of fixed capacity would receive the calls of a fleet that was started or refused together
      // all at once. The ceiling therefore doubles with each consecutive call that brings no line, and each
      // conductor draws its own wait below it.
      shared_service_(config.module.list_mode == eiderarch::ListMode::on_request),
      shared_backoff_(backoff_for(config.module.fronts)),
      random_(config.module.seed) {}

DiscoveryWatch::~DiscoveryWatch() = default;

core::Duration DiscoveryWatch::max_update_delay() { return kResponseTimeout + local_agent_backoff().max; }

void DiscoveryWatch::open() {
  const auto at = config::Address::parse(address_);
  splitter_.clear();
  reopen_timer_.reset();
  connection_.reset(
      evhttp_connection_base_bufferevent_new(loop_.base(), nullptr, nullptr, at->host.c_str(), at->port));
  line_received_ = false;
  if (!connection_) return on_failure();
  evhttp_connection_set_timeout(connection_.get(), kReadTimeoutSeconds);
  evhttp_connection_set_max_headers_size(connection_.get(), kMaxHeadBytes);
  received_bytes_ = 0;
  line_too_long_ = false;
  allow_next_chunk();
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request* answer, void* self) {
        run_guarded("discovery", [=] { static_cast<DiscoveryWatch*>(self)->on_closed(answer); });
      },
      this);
  evhttp_request_set_chunked_cb(request, [](evhttp_request* answer, void* self) {
    run_guarded("discovery", [&] { static_cast<DiscoveryWatch*>(self)->on_data(answer); });
  });
  // The response head proves that discovery is up; without changes, the first line comes up to 2 s later.
  evhttp_request_set_header_cb(request, [](evhttp_request* answer, void* self) {
    if (evhttp_request_get_response_code(answer) == 200)
      static_cast<DiscoveryWatch*>(self)->response_timeout_.reset();
    return 0;
  });
  evhttp_request_set_error_cb(request, [](evhttp_request_error error, void*) {
    if (error == EVREQ_HTTP_DATA_TOO_LONG)
      log::write("discovery", "answer has too long a head or chunk; reopening the watch");
  });
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", address_.c_str());
  std::string path = "/api/targets?follow=1";
  if (!full_list_needed_) path += "&since=" + std::to_string(version_);
  if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path.c_str()) != 0) return on_failure();
  if (!shared_service_)
    response_timeout_ = loop_.at(loop_.now() + kResponseTimeout, [this] { on_failure(); });
}

void DiscoveryWatch::on_closed(evhttp_request* answer) {
  const bool refused = answer != nullptr && evhttp_request_get_response_code(answer) >= 400;
  shared_service_ |= refused;
  on_failure(refused);
}

// The end of a watch that brought lines is not a failure; the end of one that brought none is. So the first
// refusal after all watches of a fleet have ended counts as the first failure, not the second.
void DiscoveryWatch::on_failure(bool refused) {
  response_timeout_.reset();
  const bool was_working = std::exchange(line_received_, false);
  failures_ = was_working ? 0 : failures_ + 1;
  const Backoff shared = refused ? shared_backoff_ : shared_backoff_.at_most(kMaxWaitAfterSilence);
  const Backoff backoff = shared_service_ ? shared : local_agent_backoff();
  const double random_unit = std::uniform_real_distribution<double>(0.0, 1.0)(random_);
  core::Duration wait = backoff.wait(std::max(1, failures_), random_unit);
  if (was_working)
    wait = std::min(wait, kMaxReopenDelay * static_cast<core::Duration::rep>(random_unit * 1000.0) / 1000);
  // Logs only when the count doubles, so that a refusing discovery is visible without flooding the log.
  if (failures_ > 0 && (failures_ & (failures_ - 1)) == 0) {
    log::write("discovery", "no watch after " + std::to_string(failures_) + " calls in a row; the next in " +
                                std::to_string(wait.count() / 1000) + " ms");
  }
  schedule_reopen(wait);
}

void DiscoveryWatch::fetch() {
  full_list_needed_ = true;
  schedule_reopen(0ms);
}

void DiscoveryWatch::move(const std::string& address) {
  address_ = address;
  shared_service_ = config_.module.list_mode == eiderarch::ListMode::on_request;
  failures_ = 0;
  // Another discovery has its own version numbers, so changes since the old version are meaningless there.
  full_list_needed_ = true;
  version_ = 0;
  open();
}

void DiscoveryWatch::schedule_reopen(core::Duration wait) {
  // Reopened from the loop, because the old connection may be on the call stack.
  response_timeout_.reset();
  reopen_timer_ = loop_.at(loop_.now() + wait, [this] { open(); });
}

// evhttp collects each chunk whole before it passes it on, and limits the sum of all chunks.
void DiscoveryWatch::allow_next_chunk() {
  const std::size_t limit = received_bytes_ + kMaxChunkBytes;
  evhttp_connection_set_max_body_size(connection_.get(), static_cast<ev_ssize_t>(limit));
}

void DiscoveryWatch::on_data(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  received_bytes_ += evbuffer_get_length(input);
  allow_next_chunk();
  if (evhttp_request_get_response_code(request) != 200 || line_too_long_) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return;
  }
  if (!line_received_ && failures_ > 1)
    log::write("discovery", "a watch again after " + std::to_string(failures_) + " calls");
  line_received_ = true;  // an empty line also proves that the watch works
  const bool line_complete = read_lines(input);
  const bool keep_alive_line = !line_complete && splitter_.pending_bytes() == 0;
  if (keep_alive_line) on_update_(core::FleetUpdate{});
}

bool DiscoveryWatch::read_lines(evbuffer* input) {
  bool line_complete = false;
  std::array<char, kPieceBytes> piece;
  while (!line_too_long_ && evbuffer_get_length(input) > 0) {
    const int size = evbuffer_remove(input, piece.data(), piece.size());
    if (size <= 0) break;
    splitter_.feed({piece.data(), std::size_t(size)}, [this, &line_complete](const std::string& text) {
      line_complete = true;
      on_line(text);
    });
    line_too_long_ = splitter_.pending_bytes() > kMaxLineBytes;
  }
  if (line_too_long_) {
    log::write("discovery", "line exceeds " + std::to_string(kMaxLineBytes) +
                                " bytes without an end; reopening the watch");
    splitter_.clear();
    evbuffer_drain(input, evbuffer_get_length(input));
    reopen_after_malformed();
  }
  return line_complete || line_too_long_;
}

void DiscoveryWatch::reopen_after_malformed() {
  const bool is_scheduled = reopen_timer_ != nullptr;  // further malformed lines must not put it off
  if (!is_scheduled) schedule_reopen(kDelayAfterMalformed);
}

// A malformed line leaves the list unchanged; the watch is reopened from the last valid version.
void DiscoveryWatch::on_line(const std::string& text) {
  try {
    if (count_values(text) > kMaxListValues) {
      throw eiderarch::wire::MalformedInput("has more than " + std::to_string(kMaxListValues) + " values");
    }
    config::DiscoveryMessage message =
        config::parse_discovery_message(eiderarch::wire::parse_object(text), config_.zones, config_.kinds);
    version_ = message.version;
    full_list_needed_ = false;
    on_update_(std::move(message.update));
  } catch (const eiderarch::wire::MalformedInput& problem) {
    log::write("discovery", std::string("list line not understood, the old list stays: ") + problem.what());
    reopen_after_malformed();
  }
}

}  // namespace bankmux::net
