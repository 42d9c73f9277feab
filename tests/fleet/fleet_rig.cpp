#include "fleet/fleet_rig.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <stdexcept>
#include <thread>

namespace fleet {

using namespace stories;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

Fleet::Fleet(int members, double lease_s) : lease_s_(lease_s) {
  char name[] = "/tmp/bankmux-fleet-XXXXXX";
  if (mkdtemp(name) == nullptr) throw std::runtime_error("no folder");
  folder = name;
  store = folder + "/bankmux-fleet.db";
  for (int i = 0; i < 2; ++i) {
    boxes_.push_back(std::make_unique<Peer>([this](Wire& wire) {
      while (const auto request = wire.receive()) {
        if (request->first.starts_with("GET /v1/models")) {
          asked_.add("asked");
          wire.send(simple("200 OK", "{\"object\":\"list\",\"data\":[]}"));
        } else {
          seen_.add("request");
          wire.send(events(
              {"{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"},\"finish_reason\":\"stop\"}]}",
               "[DONE]"}));
        }
      }
    }));
  }
  members_.resize(std::size_t(members));
  for (int i = 0; i < members; ++i) start(i);
}

Fleet::~Fleet() {
  // One that is stopped would not hear SIGTERM; each is killed by its owner in any case.
  for (auto& member : members_) {
    if (member) member->program().send_signal(SIGKILL);
  }
  members_.clear();
  std::filesystem::remove_all(folder);
}

void Fleet::start(int i) {
  const json changes = {
      {"check_every_s", 0.2},
      {"coordination", {{"folder", folder}, {"member", "m" + std::to_string(i)}, {"lease_s", lease_s_}}}};
  members_[std::size_t(i)] = std::make_unique<Appliance>(
      std::vector<std::string>{boxes_[0]->address(), boxes_[1]->address()}, changes);
}

void Fleet::kill(int i) {
  signal(i, SIGKILL);
  (void)member(i).program().wait();
  members_[std::size_t(i)].reset();
}

json Fleet::duties(int i) {
  if (!runs(i)) return json::object();
  const std::string text = member(i).page("GET", "/-/duties");
  if (!text.starts_with("HTTP/1.1 200")) return json::object();
  json all = json::parse(text.substr(text.find("\r\n\r\n") + 4), nullptr, false);
  if (!all.is_object()) return json::object();
  note(i, all);
  return all;
}

void Fleet::note(int i, const json& duties) {
  for (const json& row : duties.at("duties")) {
    if (!row.contains("token") || row.at("owner").is_null()) continue;
    const std::uint64_t token = row.at("token");
    const std::string owner = row.at("owner");
    const auto [known, fresh] = owner_of_.try_emplace(token, owner);
    if (!fresh && known->second != owner) {
      faults_.push_back("token " + std::to_string(token) + " is " + known->second + "'s and " + owner + "'s");
    }
    // A member may not have heard of the newest yet, but then it may not act by the old one.
    if (token < newest_ && row.at("here").get<bool>()) {
      faults_.push_back("m" + std::to_string(i) + " may act by token " + std::to_string(token) + " after " +
                        std::to_string(newest_));
    }
    newest_ = std::max(newest_, token);
  }
}

std::vector<int> Fleet::owners(const std::set<int>& without) {
  std::vector<int> all;
  for (int i = 0; i < size(); ++i) {
    if (without.contains(i)) continue;
    const json page = duties(i);
    if (page.empty()) continue;
    for (const json& row : page.at("duties")) {
      if (row.at("here").get<bool>()) all.push_back(i);
    }
  }
  return all;
}

int Fleet::settled(int not_this, int ms, const std::set<int>& without) {
  const auto end = Clock::now() + std::chrono::milliseconds(ms);
  while (Clock::now() < end) {
    const std::vector<int> now = owners(without);
    if (now.size() == 1 && now[0] != not_this) return now[0];
    std::this_thread::sleep_for(20ms);
  }
  return -1;
}

void Fleet::watch(int ms, const std::set<int>& without) {
  const auto end = Clock::now() + std::chrono::milliseconds(ms);
  while (Clock::now() < end) {
    const std::vector<int> first = owners(without);
    // Asked one after the other, two may each say yes in turn. Two that say so before and after do at once.
    if (first.size() > 1) {
      const std::vector<int> again = owners(without);
      if (again.size() > 1) faults_.push_back("two owners at once");
    }
    std::this_thread::sleep_for(10ms);
  }
}

int Fleet::chat(int i) {
  const std::string answer = member(i).chat(Appliance::body("m-consulta", true));
  return answer.size() > 12 ? std::atoi(answer.c_str() + 9) : 0;
}

}  // namespace fleet
