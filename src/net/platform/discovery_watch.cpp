#include "net/platform/discovery_watch.hpp"

#include <algorithm>
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

constexpr int kSilentSeconds = 3;  // an empty line comes every 2 s
// An agent answers at once. While discovery is down it says nothing, and a call from that time may never be
// answered.
constexpr core::Duration kFirstAnswer = 400ms;
constexpr core::Duration kAfterNonsense = 1s;
// A watch that worked and fell silent is noticed after 3 s, and what it misses counts as told after 6: all of
// a fleet call again within this, however slowly they would if refused.
constexpr core::Duration kReopen = 1500ms;
constexpr std::size_t kMostLine = 4 * 1024 * 1024;

}  // namespace

DiscoveryWatch::DiscoveryWatch(Loop& loop, const config::Config& config, News news)
    : loop_(loop),
      config_(config),
      address_(config.discovery),
      news_(std::move(news)),
      version_(config.known_version),
      // Where one discovery serves all conductors with a fixed capacity, a fleet that was started or refused
      // together would call again together: after each call in a row that brings no line the ceiling
      // doubles, and each conductor draws its own wait under it.
      shared_(config.module.list_mode == eiderarch::ListMode::on_request),
      backoff_shared_(backoff_for(config.module.fronts)),
      draw_(config.module.seed) {}

DiscoveryWatch::~DiscoveryWatch() = default;

core::Duration DiscoveryWatch::most_late() { return kFirstAnswer + backoff_at_hand().most; }

void DiscoveryWatch::open() {
  const auto at = config::Address::parse(address_);
  pending_.clear();
  retry_.reset();
  connection_.reset(
      evhttp_connection_base_bufferevent_new(loop_.base(), nullptr, nullptr, at->host.c_str(), at->port));
  heard_ = false;
  if (!connection_) return failed();
  evhttp_connection_set_timeout(connection_.get(), kSilentSeconds);
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request* answer, void* self) {
        guarded("discovery", [=] { static_cast<DiscoveryWatch*>(self)->ended(answer); });
      },
      this);
  evhttp_request_set_chunked_cb(request, [](evhttp_request* answer, void* self) {
    guarded("discovery", [&] { static_cast<DiscoveryWatch*>(self)->read(answer); });
  });
  // Its head says that someone is there; where nothing has changed the first line comes up to 2 s later.
  evhttp_request_set_header_cb(request, [](evhttp_request* answer, void* self) {
    if (evhttp_request_get_response_code(answer) == 200) static_cast<DiscoveryWatch*>(self)->silent_.reset();
    return 0;
  });
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", address_.c_str());
  std::string path = "/api/targets?follow=1";
  if (!whole_) path += "&since=" + std::to_string(version_);
  if (evhttp_make_request(connection_.get(), request, EVHTTP_REQ_GET, path.c_str()) != 0) return failed();
  if (!shared_) silent_ = loop_.at(loop_.now() + kFirstAnswer, [this] { failed(); });
}

void DiscoveryWatch::ended(evhttp_request* answer) {
  const bool refused = answer != nullptr && evhttp_request_get_response_code(answer) >= 400;
  shared_ |= refused;
  failed(refused);
}

// A watch that brought lines had worked, and its end is no failure; one that brought none, refused or broken,
// is. So the first refusal after an end that a whole fleet saw is not taken for the second.
void DiscoveryWatch::failed(bool refused) {
  silent_.reset();
  const bool worked = std::exchange(heard_, false);
  failures_ = worked ? 0 : failures_ + 1;
  const Backoff shared = refused ? backoff_shared_ : backoff_shared_.at_most(kMostAfterSilence);
  const Backoff backoff = shared_ ? shared : backoff_at_hand();
  const double unit = std::uniform_real_distribution<double>(0.0, 1.0)(draw_);
  core::Duration wait = backoff.wait(std::max(1, failures_), unit);
  if (worked) wait = std::min(wait, kReopen * static_cast<core::Duration::rep>(unit * 1000.0) / 1000);
  // A line each time the count doubles: an operator sees a discovery that refuses, and the log no storm.
  if (failures_ > 0 && (failures_ & (failures_ - 1)) == 0) {
    log::write("discovery", "no watch after " + std::to_string(failures_) + " calls in a row; the next in " +
                                std::to_string(wait.count() / 1000) + " ms");
  }
  again(wait);
}

void DiscoveryWatch::fetch() {
  whole_ = true;
  again(0ms);
}

void DiscoveryWatch::move(const std::string& address) {
  address_ = address;
  shared_ = config_.module.list_mode == eiderarch::ListMode::on_request;
  failures_ = 0;
  // Another discovery counts its versions by itself: changes after one of the old one's mean nothing there.
  whole_ = true;
  version_ = 0;
  open();
}

void DiscoveryWatch::again(core::Duration wait) {
  // Opened from the loop: the old connection may be what is calling.
  silent_.reset();
  retry_ = loop_.at(loop_.now() + wait, [this] { open(); });
}

void DiscoveryWatch::read(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, bytes.data(), bytes.size());
  if (evhttp_request_get_response_code(request) != 200) return;
  if (!heard_ && failures_ > 1)
    log::write("discovery", "a watch again after " + std::to_string(failures_) + " calls");
  heard_ = true;  // an empty line too says that the watch works
  bool told = false;
  pending_.feed(bytes, [this, &told](const std::string& text) {
    told = true;
    line(text);
  });
  const bool nothing_changed = !told && pending_.open() == 0;
  if (nothing_changed) news_(core::FleetNews{});
  if (pending_.open() > kMostLine) {
    log::write("discovery", "a line without an end");
    pending_.clear();
    again(kAfterNonsense);
  }
}

// What cannot be read keeps the old list; the watch is opened again after the last version that could.
void DiscoveryWatch::line(const std::string& text) {
  try {
    config::ListMessage message =
        config::parse_list(eiderarch::wire::parse_object(text), config_.zones, config_.kinds);
    version_ = message.version;
    whole_ = false;
    news_(std::move(message.news));
  } catch (const eiderarch::wire::MalformedInput& problem) {
    log::write("discovery", std::string("list line not understood, the old list stays: ") + problem.what());
    again(kAfterNonsense);
  }
}

}  // namespace bankmux::net
