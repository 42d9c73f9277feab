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

  void handle_line(const std::string& text) {
    const Json message = parse_object(text);
    const std::string type = text_field(message, "type");
    if (type == "SYNC") {
      if (in_batch_) throw MalformedInput("a batch begins inside a batch");
      now_ = time_field(message, "atTimeS");
      in_batch_ = true;
    } else if (!in_batch_) {
      throw MalformedInput("'" + type + "' outside a batch");
    } else if (type == "EOB") {
      process_batch();
    } else {
      handle_event(type, message);
    }
  }
  [[nodiscard]] bool in_batch() const { return in_batch_; }

 private:
  void handle_event(const std::string& type, const Json& message) {
    const std::string name = text_field(message, "who");
    if (type == "DETACH") {
      routers_.erase(name);
      std::erase_if(pending_, [&name](const auto& entry) { return entry.first == name; });
    } else if (type == "INIT") {
      routers_.insert_or_assign(name, Router(decode_settings(message)));
    } else if (auto decoded = decode_event(type, message)) {
      if (pending_.empty() || pending_.back().first != name)
        pending_.emplace_back(name, std::vector<Event>{});
      pending_.back().second.push_back(std::move(*decoded));
    }
  }

  // Passes each instance all its events of the batch in one call, in the order in which the instances first
  // appear.
  void process_batch() {
    std::vector<std::pair<std::string, std::vector<Event>>> groups;
    std::map<std::string, std::size_t> position;
    for (auto& [name, events] : pending_) {
      const auto [it, inserted] = position.emplace(name, groups.size());
      if (inserted) groups.emplace_back(name, std::vector<Event>{});
      auto& all = groups[it->second].second;
      std::move(events.begin(), events.end(), std::back_inserter(all));
    }
    for (const auto& [name, events] : groups) {
      const auto router = routers_.find(name);
      if (router == routers_.end()) continue;
      try {
        for (const Action& action : router->second.handle(now_, events))
          out_ << encode_action(name, action) << '\n';
      } catch (const std::exception& failure) {
        out_ << encode_crash(name, failure.what()) << '\n';
      }
    }
    out_ << "{\"type\":\"READY\"}\n" << std::flush;
    pending_.clear();
    in_batch_ = false;
  }

  std::ostream& out_;
  std::map<std::string, Router> routers_;
  std::vector<std::pair<std::string, std::vector<Event>>> pending_;
  Time now_{0};
  bool in_batch_ = false;
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
      host.handle_line(text);
    } catch (const MalformedInput& problem) {
      err << "line " << number << ": " << problem.what() << '\n';
      return 1;
    }
  }
  if (host.in_batch()) {
    err << "line " << number << ": input ends inside a batch\n";
    return 1;
  }
  return 0;
}

}  // namespace eiderarch::wire
