#include "faults/stand_in_platform.hpp"

#include <chrono>
#include <thread>
#include <utility>

namespace faults {

using Kind = HistoryEvent::Kind;
using stories::Message;
using stories::simple;
using stories::Wire;

namespace {

const std::string kRooms = "/bootstrap/rooms/";
constexpr int kUnknownPlaceMs = 300;  // delay of the answer to a reservation whose prefill is not in progress
const std::string kTurnedAway = "X-Turned-Away: 1\r\n";

std::string target_of(const Message& request) {
  const std::size_t begin = request.first.find(' ') + 1;
  return request.first.substr(begin, request.first.rfind(' ') - begin);
}

}  // namespace

StandInServer::StandInServer(StandInPlatform& platform, std::string id, bool prefill)
    : platform_(platform), id_(std::move(id)), prefill_(prefill) {
  peer_ = std::make_unique<stories::Peer>([this](Wire& wire) { serve(wire); });
  relay_ = std::make_unique<Relay>(peer_->address());
}

stories::Platform::Instance StandInServer::listed() const {
  return {id_, prefill_ ? "lectura" : "escritura", relay_->address()};
}

void StandInServer::serve(Wire& wire) {
  while (const auto request = wire.receive()) {
    if (!answer(wire, *request)) return;
  }
}

bool StandInServer::answer(Wire& wire, const Message& request) {
  const std::string target = target_of(request);
  if (target.starts_with(kRooms)) {
    const std::string id = target.substr(kRooms.size());
    if (request.first.starts_with("POST")) {
      reserve(wire, id);
      return true;
    }
    {
      const std::lock_guard lock(platform_.mutex_);
      platform_.history_.add(Kind::released, id, id_);
      platform_.held_.erase(id);
    }
    wire.send(simple("204 No Content"));
    return true;
  }
  if (request.first.starts_with("GET")) {
    wire.send(simple("200 OK", "concurrent=0"));
    return true;
  }
  const std::string id = request.headers.contains("x-txn") ? request.headers.at("x-txn") : "";
  const double told = std::stod(request.headers.at("x-remaining-ms")) / 1000.0;
  platform_.history_.add(Kind::attempt_taken, id, id_, prefill_ ? "prefill" : "decode", told);
  return prefill_ ? prefill_prompt(wire, id) : decode(wire, id);
}

bool StandInServer::prefill_prompt(Wire& wire, const std::string& id) {
  {
    const std::lock_guard lock(platform_.mutex_);
    platform_.prefilling_.insert(id);
  }
  const int takes = platform_.draw(platform_.pace_.prefill_least, platform_.pace_.prefill_most);
  const bool left = wire.closed_within(takes);
  const std::lock_guard lock(platform_.mutex_);
  platform_.prefilling_.erase(id);
  if (left) {
    platform_.history_.add(Kind::attempt_ended, id, id_, "cancelled");
    return false;
  }
  platform_.held_.insert(id);
  platform_.was_held_.insert(id);
  platform_.history_.add(Kind::attempt_ended, id, id_, "read");
  platform_.history_.add(Kind::cache_held, id, id_);
  wire.send(simple("202 Accepted", "{\"cached_tokens\":0}"));
  if (silence_after_prefill_) {
    // The answer has to pass before its connection is silenced.
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    relay_->silence_open();
  }
  return true;
}

bool StandInServer::decode(Wire& wire, const std::string& id) {
  bool gone = false;
  {
    const std::lock_guard lock(platform_.mutex_);
    gone = platform_.held_.erase(id) == 0 && platform_.was_held_.contains(id);
    if (gone) platform_.history_.add(Kind::attempt_ended, id, id_, "no cache");
  }
  if (gone) {
    wire.send(simple("410 Gone", "", kTurnedAway));
    return true;
  }
  const Pace& pace = platform_.pace_;
  bool left = wire.closed_within(platform_.draw(pace.first_token_least, pace.first_token_most));
  if (!left) wire.send(stories::stream_head());
  for (int i = 0; i < pace.events && !left; ++i) {
    wire.send(stories::chunk("data: {\"n\":" + std::to_string(i) + "}\n\n"));
    left = wire.closed_within(pace.between_events);
  }
  platform_.history_.add(Kind::attempt_ended, id, id_, left ? "cancelled" : "served");
  if (left) return false;
  wire.send(stories::chunk("data: [DONE]\n\n") + "0\r\n\r\n");
  return true;
}

void StandInServer::reserve(Wire& wire, const std::string& id) {
  bool reading = false;
  {
    const std::lock_guard lock(platform_.mutex_);
    reading = platform_.prefilling_.contains(id);
    platform_.history_.add(Kind::place_held, id, id_);
  }
  if (!reading) (void)wire.closed_within(kUnknownPlaceMs);
  wire.send(reading ? simple("200 OK") : simple("204 No Content"));
}

StandInPlatform::StandInPlatform(int prefill_servers, int decode_servers, Pace pace, unsigned seed)
    : pace_(pace), random_(seed) {
  for (int i = 0; i < prefill_servers; ++i) {
    servers_.push_back(std::make_unique<StandInServer>(*this, "prefill-" + std::to_string(i), true));
  }
  for (int i = 0; i < decode_servers; ++i) {
    servers_.push_back(std::make_unique<StandInServer>(*this, "decode-" + std::to_string(i), false));
  }
}

std::vector<StandInServer*> StandInPlatform::of_role(bool prefill) {
  std::vector<StandInServer*> result;
  for (const auto& server : servers_) {
    if (server->prefill() == prefill) result.push_back(server.get());
  }
  return result;
}

std::vector<stories::Platform::Instance> StandInPlatform::listed() const {
  std::vector<stories::Platform::Instance> result;
  for (const auto& server : servers_) result.push_back(server->listed());
  return result;
}

int StandInPlatform::draw(int least, int most) {
  const std::lock_guard lock(mutex_);
  random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
  return least + int((random_ >> 33) % (unsigned long long)(most - least + 1));
}

}  // namespace faults
