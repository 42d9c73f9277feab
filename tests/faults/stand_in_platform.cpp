#include "faults/stand_in_platform.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <thread>
#include <utility>

namespace faults {

using Kind = HistoryEvent::Kind;
using integration::Message;
using integration::plain_response;
using integration::TestConnection;

namespace {

const std::string kReservationPath = "/bootstrap/rooms/";
// Delay of the answer to a reservation whose prefill is not in progress.
constexpr int kUnknownReservationDelayMs = 300;
const std::string kRejectedHeader = "X-Turned-Away: 1\r\n";

std::string target_of(const Message& request) {
  const std::size_t begin = request.first.find(' ') + 1;
  return request.first.substr(begin, request.first.rfind(' ') - begin);
}

}  // namespace

SimulatedServer::SimulatedServer(SimulatedPlatform& platform, std::string id, bool prefill)
    : platform_(platform), id_(std::move(id)), prefill_(prefill) {
  peer_ = std::make_unique<integration::ScriptedServer>([this](TestConnection& wire) { serve(wire); });
  relay_ = std::make_unique<Relay>(peer_->address());
}

integration::Platform::Instance SimulatedServer::listed() const {
  return {id_, prefill_ ? "lectura" : "escritura", relay_->address()};
}

void SimulatedServer::serve(TestConnection& wire) {
  while (const auto request = wire.receive()) {
    if (!answer(wire, *request)) return;
  }
}

double SimulatedServer::arrival(const TestConnection& wire) const {
  const double now = seconds_now();
  return std::min(relay_->last_arrival(wire.peer_port()).value_or(now), now);
}

bool SimulatedServer::answer(TestConnection& wire, const Message& request) {
  const std::string target = target_of(request);
  if (target.starts_with(kReservationPath)) {
    const std::string id = target.substr(kReservationPath.size());
    if (request.first.starts_with("POST")) {
      reserve(wire, id);
      return true;
    }
    {
      const std::lock_guard lock(platform_.mutex_);
      platform_.history_.add_at(arrival(wire), Kind::released, id, id_);
      platform_.held_caches_.erase(id);
    }
    wire.send(plain_response("204 No Content"));
    return true;
  }
  if (request.first.starts_with("GET")) {
    wire.send(plain_response("200 OK", "concurrent=0"));
    return true;
  }
  const std::string id = request.headers.contains("x-txn") ? request.headers.at("x-txn") : "";
  const double remaining_s = std::stod(request.headers.at("x-remaining-ms")) / 1000.0;
  platform_.history_.add_at(arrival(wire), Kind::attempt_received, id, id_, prefill_ ? "prefill" : "decode",
                            remaining_s);
  return prefill_ ? run_prefill(wire, id) : decode(wire, id);
}

bool SimulatedServer::run_prefill(TestConnection& wire, const std::string& id) {
  {
    const std::lock_guard lock(platform_.mutex_);
    platform_.prefilling_.insert(id);
  }
  const int duration_ms =
      platform_.random_between(platform_.service_times_.prefill_min, platform_.service_times_.prefill_max);
  const bool disconnected = wire.closed_within(duration_ms);
  const std::lock_guard lock(platform_.mutex_);
  platform_.prefilling_.erase(id);
  if (disconnected) {
    platform_.history_.add(Kind::attempt_ended, id, id_, "cancelled");
    return false;
  }
  platform_.held_caches_.insert(id);
  platform_.ever_held_.insert(id);
  platform_.history_.add(Kind::attempt_ended, id, id_, "read");
  platform_.history_.add(Kind::cache_held, id, id_);
  wire.send(plain_response("202 Accepted", "{\"cached_tokens\":0}"));
  if (silence_after_prefill_) {
    // The answer has to pass before its connection is silenced.
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    relay_->silence_open_connections();
  }
  return true;
}

bool SimulatedServer::decode(TestConnection& wire, const std::string& id) {
  bool cache_released = false;
  {
    const std::lock_guard lock(platform_.mutex_);
    cache_released = platform_.held_caches_.erase(id) == 0 && platform_.ever_held_.contains(id);
    if (cache_released) platform_.history_.add(Kind::attempt_ended, id, id_, "no cache");
  }
  if (cache_released) {
    wire.send(plain_response("410 Gone", "", kRejectedHeader));
    return true;
  }
  const ServiceTimes& service_times = platform_.service_times_;
  bool disconnected = wire.closed_within(
      platform_.random_between(service_times.first_token_min, service_times.first_token_max));
  if (!disconnected) wire.send(integration::stream_head());
  // By the id, so that the faults that a seed draws do not depend on it.
  const bool partial = int(std::hash<std::string>{}(id) % 100) < service_times.partial_percent;
  const int events = partial ? service_times.events / 2 : service_times.events;
  for (int i = 0; i < events && !disconnected; ++i) {
    wire.send(integration::chunk("data: {\"n\":" + std::to_string(i) + "}\n\n"));
    disconnected = wire.closed_within(service_times.between_events);
  }
  const std::string end = partial ? kPartialAnswer : "served";
  platform_.history_.add(Kind::attempt_ended, id, id_, disconnected ? "cancelled" : end);
  if (disconnected) return false;
  wire.send((partial ? "" : integration::chunk("data: [DONE]\n\n")) + "0\r\n\r\n");
  return true;
}

void SimulatedServer::reserve(TestConnection& wire, const std::string& id) {
  bool prefilling = false;
  {
    const std::lock_guard lock(platform_.mutex_);
    prefilling = platform_.prefilling_.contains(id);
    platform_.history_.add_at(arrival(wire), Kind::reservation_held, id, id_);
  }
  if (!prefilling) (void)wire.closed_within(kUnknownReservationDelayMs);
  wire.send(prefilling ? plain_response("200 OK") : plain_response("204 No Content"));
}

SimulatedPlatform::SimulatedPlatform(int prefill_servers, int decode_servers, ServiceTimes service_times,
                                     unsigned seed)
    : service_times_(service_times), random_(seed) {
  for (int i = 0; i < prefill_servers; ++i) {
    servers_.push_back(std::make_unique<SimulatedServer>(*this, "prefill-" + std::to_string(i), true));
  }
  for (int i = 0; i < decode_servers; ++i) {
    servers_.push_back(std::make_unique<SimulatedServer>(*this, "decode-" + std::to_string(i), false));
  }
}

std::vector<SimulatedServer*> SimulatedPlatform::of_role(bool prefill) {
  std::vector<SimulatedServer*> result;
  for (const auto& server : servers_) {
    if (server->prefill() == prefill) result.push_back(server.get());
  }
  return result;
}

std::vector<integration::Platform::Instance> SimulatedPlatform::listed() const {
  std::vector<integration::Platform::Instance> result;
  for (const auto& server : servers_) result.push_back(server->listed());
  return result;
}

int SimulatedPlatform::random_between(int minimum, int maximum) {
  const std::lock_guard lock(mutex_);
  random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
  return minimum + int((random_ >> 33) % (unsigned long long)(maximum - minimum + 1));
}

}  // namespace faults
