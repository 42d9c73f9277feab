#include "fleet/fleet_rig.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace fleet {

using namespace integration;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

// Whether a process holds SQLite's lock for writing (byte 120 of the shared memory) of a file.
bool holds_write_lock(pid_t process) {
  std::ifstream locks("/proc/locks");
  const std::string owner = " WRITE " + std::to_string(process) + ' ';
  for (std::string line; std::getline(locks, line);) {
    if (line.find(owner) != std::string::npos && line.ends_with(" 120 120")) return true;
  }
  return false;
}

// Whether all threads of a process are stopped.
bool is_stopped(pid_t process) {
  for (const auto& task : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/task")) {
    std::ifstream file(task.path() / "stat");
    std::string line;
    std::getline(file, line);
    if (line.find(") T ") == std::string::npos) return false;
  }
  return true;
}

}  // namespace

Fleet::Fleet(int members, double lease_s) : lease_s_(lease_s) {
  char name[] = "/tmp/bankmux-fleet-XXXXXX";
  if (mkdtemp(name) == nullptr) throw std::runtime_error("no folder");
  folder = name;
  store = folder + "/bankmux-fleet.db";
  for (int i = 0; i < 2; ++i) {
    instances_.push_back(std::make_unique<ScriptedServer>([this](TestConnection& wire) {
      while (const auto request = wire.receive()) {
        if (request->first.starts_with("GET /v1/models")) {
          health_checks_.add("asked");
          wire.send(plain_response("200 OK", "{\"object\":\"list\",\"data\":[]}"));
        } else {
          requests_.add("request");
          wire.send(event_stream(
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
  // A suspended process would not handle SIGTERM, so all are killed.
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
      std::vector<std::string>{instances_[0]->address(), instances_[1]->address()}, changes);
}

void Fleet::kill(int i) {
  signal(i, SIGKILL);
  (void)member(i).program().wait();
  members_[std::size_t(i)].reset();
}

bool Fleet::suspend_within_store_write(int i) {
  const pid_t process = member(i).program().pid();
  const auto end = Clock::now() + 20s;
  while (Clock::now() < end) {
    if (!holds_write_lock(process)) continue;
    signal(i, SIGSTOP);
    while (!is_stopped(process)) std::this_thread::yield();
    if (holds_write_lock(process)) return true;
    signal(i, SIGCONT);
  }
  return false;
}

json Fleet::duties(int i) {
  if (!is_running(i)) return json::object();
  const std::string text = member(i).page("GET", "/-/duties");
  if (!text.starts_with("HTTP/1.1 200")) return json::object();
  json all = json::parse(text.substr(text.find("\r\n\r\n") + 4), nullptr, false);
  if (!all.is_object()) return json::object();
  check_page(i, all);
  return all;
}

std::string Fleet::instance_state(int i) {
  const std::string text = member(i).page("GET", "/-/status");
  return json_body(text).at("boxes")[0].at("state").get<std::string>();
}

void Fleet::check_page(int i, const json& duties) {
  for (const json& row : duties.at("duties")) {
    if (!row.contains("token") || row.at("owner").is_null()) continue;
    const std::uint64_t token = row.at("token");
    const std::string owner = row.at("owner");
    const auto [owner_entry, inserted] = owner_by_token_.try_emplace(token, owner);
    if (!inserted && owner_entry->second != owner) {
      violations_.push_back("token " + std::to_string(token) + " has the owners " + owner_entry->second +
                            " and " + owner + ", but a token has one owner");
    }
    // A member may not have read the newest token yet, but then it must not hold a grant for the old one.
    if (token < newest_token_ && row.at("here").get<bool>()) {
      violations_.push_back("m" + std::to_string(i) + " holds a grant with token " + std::to_string(token) +
                            " after " + std::to_string(newest_token_));
    }
    newest_token_ = std::max(newest_token_, token);
  }
}

std::vector<int> Fleet::owners(const std::set<int>& excluded) {
  std::vector<int> all;
  for (int i = 0; i < size(); ++i) {
    if (excluded.contains(i)) continue;
    const json page = duties(i);
    if (page.empty()) continue;
    for (const json& row : page.at("duties")) {
      if (row.at("here").get<bool>()) all.push_back(i);
    }
  }
  return all;
}

int Fleet::wait_for_owner(int other_than, int timeout_ms, const std::set<int>& excluded) {
  const auto end = Clock::now() + std::chrono::milliseconds(timeout_ms);
  while (Clock::now() < end) {
    const std::vector<int> now = owners(excluded);
    if (now.size() == 1 && now[0] != other_than) return now[0];
    std::this_thread::sleep_for(20ms);
  }
  return -1;
}

void Fleet::observe(int timeout_ms, const std::set<int>& excluded) {
  const auto end = Clock::now() + std::chrono::milliseconds(timeout_ms);
  while (Clock::now() < end) {
    const std::vector<int> first = owners(excluded);
    // The members are queried one after the other, so that a handover may show two owners. A second round
    // that also shows two confirms it.
    if (first.size() > 1) {
      const std::vector<int> again = owners(excluded);
      if (again.size() > 1) violations_.push_back("two owners at once");
    }
    std::this_thread::sleep_for(10ms);
  }
}

int Fleet::chat(int i) {
  const std::string answer = member(i).chat(Appliance::body("m-consulta", true));
  return answer.size() > 12 ? std::atoi(answer.c_str() + 9) : 0;
}

}  // namespace fleet
