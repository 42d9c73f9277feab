#include "host.hpp"

#include <istream>
#include <map>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "codec.hpp"

namespace eiderarch::wire {
namespace {

class Host {
 public:
  explicit Host(std::ostream& out) : out_(out) {}

  void line(const std::string& text) {
    const Json message = parse_object(text);
    const std::string type = text_field(message, "type");
    if (type == "SYNC") {
      if (open_) throw MalformedInput("a batch begins inside a batch");
      now_ = time_field(message, "atTimeS");
      open_ = true;
    } else if (!open_) {
      throw MalformedInput("'" + type + "' outside a batch");
    } else if (type == "EOB") {
      reply();
    } else {
      event(type, message);
    }
  }
  [[nodiscard]] bool inside_batch() const { return open_; }

 private:
  void event(const std::string& type, const Json& message) {
    const std::string who = text_field(message, "who");
    if (type == "DETACH") {
      routers_.erase(who);
      std::erase_if(pending_, [&who](const auto& entry) { return entry.first == who; });
    } else if (type == "INIT") {
      routers_.insert_or_assign(who, Router(decode_settings(message)));
    } else if (auto decoded = decode_event(type, message)) {
      if (pending_.empty() || pending_.back().first != who) pending_.emplace_back(who, std::vector<Event>{});
      pending_.back().second.push_back(std::move(*decoded));
    }
  }

  // Passes each instance all its events of the batch in one call, in the order in which the instances first
  // appear.
  void reply() {
    std::vector<std::pair<std::string, std::vector<Event>>> groups;
    std::map<std::string, std::size_t> place;
    for (auto& [who, events] : pending_) {
      const auto [it, fresh] = place.emplace(who, groups.size());
      if (fresh) groups.emplace_back(who, std::vector<Event>{});
      auto& all = groups[it->second].second;
      std::move(events.begin(), events.end(), std::back_inserter(all));
    }
    for (const auto& [who, events] : groups) {
      const auto router = routers_.find(who);
      if (router == routers_.end()) continue;
      try {
        for (const Action& action : router->second.handle(now_, events))
          out_ << encode_action(who, action) << '\n';
      } catch (const std::exception& failure) {
        out_ << encode_crash(who, failure.what()) << '\n';
      }
    }
    out_ << "{\"type\":\"READY\"}\n" << std::flush;
    pending_.clear();
    open_ = false;
  }

  std::ostream& out_;
  std::map<std::string, Router> routers_;
  std::vector<std::pair<std::string, std::vector<Event>>> pending_;
  Time now_{0};
  bool open_ = false;
};

}  // namespace

int run_host(std::istream& in, std::ostream& out, std::ostream& err) {
  Host host(out);
  std::string text;
  std::size_t number = 0;
  while (std::getline(in, text)) {
    ++number;
    if (text.empty()) continue;
    try {
      host.line(text);
    } catch (const MalformedInput& problem) {
      err << "line " << number << ": " << problem.what() << '\n';
      return 1;
    }
  }
  if (host.inside_batch()) {
    err << "line " << number << ": input ends inside a batch\n";
    return 1;
  }
  return 0;
}

}  // namespace eiderarch::wire
