// The conformance suite of the chat API. Its cases are data (request, behaviour of the instances, expected
// answer) and run against the program over sockets. `bankmux_conformance [FOLDER] [NAME]` runs the sections
// of a folder, or those cases whose name contains NAME, and prints a table. tests/conformance/README.md
// describes the format of a case.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "../integration/peers.hpp"

using nlohmann::json;
using namespace integration;

namespace {

// ---- Instances ----

// Two instances that follow one script: one step for each attempt, and the last step for all further ones.
class ScriptedInstances {
 public:
  ScriptedInstances()
      : one_([this](TestConnection& wire) { serve(wire); }),
        two_([this](TestConnection& wire) { serve(wire); }) {}
  [[nodiscard]] std::vector<std::string> addresses() const { return {one_.address(), two_.address()}; }
  void begin(const json& script) {
    const std::lock_guard lock(mutex_);
    script_ = script;
    requests_.clear();
  }
  [[nodiscard]] std::vector<Message> requests() {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  json next_step(const Message& request) {
    const std::lock_guard lock(mutex_);
    requests_.push_back(request);
    if (script_.empty()) return {{"status", 500}, {"body", "no script"}};
    return script_[std::min(requests_.size(), script_.size()) - 1];
  }
  void serve(TestConnection& wire) {
    while (const auto request = wire.receive()) {
      if (request->first.starts_with("GET ")) {
        wire.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
      } else if (!answer(wire, next_step(*request))) {
        return;
      }
    }
  }
  static std::string chunk(const std::string& bytes) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
  }
  // False if the connection ends with the answer.
  static bool answer(TestConnection& wire, const json& step) {
    if (step.value("silent", false)) return wire.closed_within(10'000) && false;
    const bool stream = step.contains("events") || step.contains("pieces");
    std::string head = "HTTP/1.1 " + std::to_string(step.value("status", 200)) + " Status\r\n";
    head += "Content-Type: " + step.value("type", stream ? "text/event-stream" : "application/json") + "\r\n";
    const json headers_given = step.value("headers", json::object());
    for (const auto& [name, value] : headers_given.items()) {
      head += name + ": " + value.get<std::string>() + "\r\n";
    }
    if (!stream) {
      std::string body;
      if (step.contains("body"))
        body = step["body"].is_string() ? step["body"].get<std::string>() : step["body"].dump();
      const std::size_t length = body.size() + step.value("short_by", 0);
      wire.send(head + "Content-Length: " + std::to_string(length) + "\r\n\r\n" + body);
      return length == body.size();
    }
    wire.send(head + "Transfer-Encoding: chunked\r\n\r\n");
    const json events_given = step.value("events", json::array());
    for (const json& event : events_given) {
      const std::string data = event.is_string() ? event.get<std::string>() : event.dump();
      wire.send(chunk("data: " + data + "\n\n"));
    }
    const json pieces_given = step.value("pieces", json::array());
    for (const json& piece : pieces_given) wire.send(chunk(piece.get<std::string>()));
    const std::string end = step.value("end", "clean");
    if (end == "clean") wire.send("0\r\n\r\n");
    if (end == "silent") return wire.closed_within(10'000) && false;
    if (end == "reset") {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(200));  // a reset discards data that the peer has not read yet
      wire.reset();
    }
    return end == "clean";
  }

  std::mutex mutex_;
  json script_;
  std::vector<Message> requests_;
  ScriptedServer one_, two_;
};

// ---- The program ----

struct Response {
  Message head;
  std::string body;  // without chunk framing
  bool whole = false;
  std::string trailing;  // bytes after the answer
};

class Appliance {
 public:
  Appliance(const ScriptedInstances& instances, const json& changes) {
    json file = {{"listen", address_},
                 {"check_every_s", 0.2},
                 {"max_attempts", 3},
                 {"classes",
                  {{{"name", "consulta"},
                    {"repeat", "safe"},
                    {"deadline_s", 1},
                    {"first_token_s", 0.8},
                    {"token_s", 0.001}},
                   {{"name", "ajuste"},
                    {"repeat", "never"},
                    {"deadline_s", 1},
                    {"first_token_s", 0.8},
                    {"token_s", 0.001}}}},
                 {"models",
                  {{{"name", "m-consulta"}, {"class", "consulta"}},
                   {{"name", "m-ajuste"}, {"class", "ajuste"}},
                   {{"name", "m-native"}, {"class", "consulta"}, {"responses", "native"}}}},
                 {"boxes", json::array()}};
    for (const std::string& address : instances.addresses()) {
      file["boxes"].push_back({{"id", "b" + std::to_string(file["boxes"].size() + 1)}, {"address", address}});
    }
    file.merge_patch(changes);
    program_ = std::make_unique<Program>(
        std::vector<std::string>{"serve", "--appliance", temporary_file(file.dump())},
        std::map<std::string, std::string>{});
    program_->expect_listening(address_);
  }
  [[nodiscard]] std::unique_ptr<TestConnection> connect() const { return TestConnection::to(address_); }

 private:
  std::string address_ = unique_address();
  std::unique_ptr<Program> program_;
};

Response read_response(const std::string& text) {
  Response answer;
  const std::size_t end = text.find("\r\n\r\n");
  if (end == std::string::npos) return answer;
  std::size_t begin = 0;
  for (std::size_t line_end = 0; begin < end + 2; begin = line_end + 2) {
    line_end = text.find("\r\n", begin);
    const std::string line = text.substr(begin, line_end - begin);
    if (begin == 0) {
      answer.head.first = line;
    } else if (const std::size_t colon = line.find(": "); colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      std::ranges::transform(name, name.begin(), [](unsigned char c) { return char(std::tolower(c)); });
      answer.head.headers[name] = line.substr(colon + 2);
    }
  }
  std::string rest = text.substr(end + 4);
  if (answer.head.headers.contains("transfer-encoding")) {
    for (;;) {
      const std::size_t line = rest.find("\r\n");
      if (line == std::string::npos) return answer;
      const std::size_t size = std::stoul(rest.substr(0, line), nullptr, 16);
      answer.body += rest.substr(line + 2, size);
      rest.erase(0, std::min(rest.size(), line + 2 + size + 2));
      if (size == 0) break;
    }
    answer.whole = true;
    answer.trailing = rest;
    return answer;
  }
  // Without a length the body extends to the end of the connection; answers to 204 and HEAD have no body.
  const bool sized = answer.head.headers.contains("content-length");
  const std::size_t length = sized ? std::stoul(answer.head.headers["content-length"]) : rest.size();
  answer.body = rest.substr(0, length);
  answer.whole = rest.size() >= length;
  answer.trailing = rest.size() > length ? rest.substr(length) : "";
  return answer;
}

// ---- A case ----

// Replaces the values that `set` names by JSON pointer, such as "/messages/0/role"; null removes them.
json with_changes(json body, const json& set) {
  for (const auto& [pointer, value] : set.items()) {
    const json::json_pointer place(pointer);
    if (value.is_null()) {
      body.at(place.parent_pointer()).erase(place.back());
    } else {
      body[place] = value;
    }
  }
  return body;
}

std::string repeated(const json& spec) {
  std::string text;
  for (int i = 0; i < spec["times"]; ++i) text += spec["text"].get<std::string>();
  return spec.value("before", "") + text + spec.value("after", "");
}

std::string request_text(const json& c, const json& defaults) {
  if (c.contains("raw")) return c["raw"].is_string() ? c["raw"].get<std::string>() : repeated(c["raw"]);
  const std::string method = c.value("method", defaults.value("method", "POST"));
  std::string text = method + ' ' + c.value("path", defaults.value("path", "/v1/chat/completions")) +
                     " HTTP/1.1\r\nHost: caja\r\nConnection: close\r\n";
  const json headers_given = c.value("headers", json::object());
  for (const auto& [name, value] : headers_given.items()) {
    text += name + ": " + value.get<std::string>() + "\r\n";
  }
  std::string body;
  if (c.contains("text")) {
    body = c["text"].is_string() ? c["text"].get<std::string>() : repeated(c["text"]);
  } else if (c.contains("hex")) {
    const auto hex = c["hex"].get<std::string>();
    for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
      body += char(std::stoi(hex.substr(i, 2), nullptr, 16));
  } else if (method == "POST") {
    body = with_changes(defaults["body"], c.value("set", json::object())).dump();
  }
  if (method == "POST") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// Whether every member of `part` is in `whole`, at any depth; lists are compared entry by entry.
bool contains(const json& whole, const json& part) {
  if (part == "*") return true;
  if (part.is_object() && whole.is_object()) {
    return std::ranges::all_of(part.items(), [&whole](const auto& item) {
      if (item.value().is_null() && !whole.contains(item.key())) return true;
      return whole.contains(item.key()) && contains(whole[item.key()], item.value());
    });
  }
  if (part.is_array() && whole.is_array()) {
    if (part.size() != whole.size()) return false;
    for (std::size_t i = 0; i < part.size(); ++i) {
      if (!contains(whole[i], part[i])) return false;
    }
    return true;
  }
  return whole == part;
}

std::vector<std::string> data_of(const std::string& stream) {
  std::vector<std::string> all;
  for (std::size_t begin = 0, end = 0; (end = stream.find("\n\n", begin)) != std::string::npos;
       begin = end + 2) {
    const std::string event = stream.substr(begin, end - begin);
    const std::size_t data = event.find("data: ");
    if (data != std::string::npos) all.push_back(event.substr(data + 6));
  }
  return all;
}

json parsed(const std::string& text) { return json::parse(text, nullptr, false); }

// Describes the first mismatch between the answer and the expectation; empty if there is none.
std::string mismatch(const json& expect, const Response& answer, const std::vector<Message>& sent) {
  if (expect.contains("closed") && expect["closed"] == true)
    return answer.head.first.empty() ? "" : "expected a close without an answer";
  if (answer.head.first.empty()) return "no answer";
  if (expect.contains("status") && answer.head.status() != expect["status"]) return "status";
  const json headers_given = expect.value("headers", json::object());
  for (const auto& [name, value] : headers_given.items()) {
    const bool there = answer.head.headers.contains(name);
    if (value.is_null() ? there : !there) return "header " + name;
    if (value.is_string() && value != "*" && answer.head.headers.at(name) != value) return "header " + name;
  }
  if (expect.contains("error")) {
    const json body = parsed(answer.body);
    if (!body.is_object() || !body.contains("error")) return "no error object";
    for (const char* field : {"message", "type", "param", "code"}) {
      if (!body["error"].contains(field)) return std::string("error lacks ") + field;
    }
    if (!contains(body["error"], expect["error"])) return "error";
  }
  if (expect.contains("body") && !contains(parsed(answer.body), expect["body"])) return "body";
  if (expect.contains("text") && answer.body != expect["text"]) return "text";
  if (expect.contains("whole") && answer.whole != expect["whole"]) return "whole";
  const json has_given = expect.value("has", json::array());
  for (const json& part : has_given) {
    if (answer.body.find(part.get<std::string>()) == std::string::npos)
      return "lacks " + part.get<std::string>();
  }
  const json lacks_given = expect.value("lacks", json::array());
  for (const json& part : lacks_given) {
    if (answer.body.find(part.get<std::string>()) != std::string::npos)
      return "has " + part.get<std::string>();
  }
  if (expect.contains("events")) {
    const std::vector<std::string> events = data_of(answer.body);
    if (events.size() != expect["events"].size()) return "number of events";
    for (std::size_t i = 0; i < events.size(); ++i) {
      const json& wanted = expect["events"][i];
      if (wanted.is_string() && wanted != "*" ? events[i] != wanted : !contains(parsed(events[i]), wanted)) {
        return "event " + std::to_string(i);
      }
    }
  }
  if (expect.contains("types")) {
    json types = json::array();
    for (const std::string& event : data_of(answer.body)) types.push_back(parsed(event).value("type", ""));
    if (types != expect["types"]) return "types " + types.dump();
  }
  if (expect.contains("attempts") && sent.size() != expect["attempts"])
    return "attempts " + std::to_string(sent.size());
  if (expect.contains("sent") && (sent.empty() || !contains(parsed(sent.front().body), expect["sent"])))
    return "sent";
  if (expect.contains("sent_text") && (sent.empty() || sent.front().body != expect["sent_text"]))
    return "sent text";
  if (expect.contains("sent_first") && (sent.empty() || sent.front().first != expect["sent_first"]))
    return "sent first line";
  const json sent_headers_given = expect.value("sent_headers", json::object());
  for (const auto& [name, value] : sent_headers_given.items()) {
    if (sent.empty()) return "nothing sent";
    const bool there = sent.front().headers.contains(name);
    if (value.is_null() ? there : !there || (value != "*" && sent.front().headers.at(name) != value)) {
      return "sent header " + name;
    }
  }
  if (!answer.trailing.empty()) return "more than one answer";
  return "";
}

// Like merge_patch, but null is kept as a value: it means that something must be absent.
void merge_expected(json& onto, const json& more) {
  for (const auto& [key, value] : more.items()) {
    if (value.is_object() && onto.contains(key) && onto[key].is_object()) {
      merge_expected(onto[key], value);
    } else {
      onto[key] = value;
    }
  }
}

struct SectionResult {
  std::string section;
  int passed = 0, failed = 0;
};

SectionResult run(const json& section, const std::string& name_filter) {
  SectionResult result{section["section"], 0, 0};
  ScriptedInstances instances;
  const json defaults = section.value("defaults", json::object());
  std::unique_ptr<Appliance> program;
  for (const json& c : section["cases"]) {
    const std::string name = c["name"];
    if (name.find(name_filter) == std::string::npos) continue;
    if (!program || section.value("fresh", false)) {
      program.reset();
      program = std::make_unique<Appliance>(instances, section.value("appliance", json::object()));
    }
    instances.begin(c.contains("boxes") ? c["boxes"] : defaults.value("boxes", json::array()));
    json expect = defaults.value("expect", json::object());
    if (c.contains("expect")) merge_expected(expect, c["expect"]);
    if (c.contains("param")) expect["error"]["param"] = c["param"];  // shorthand: the invalid field
    // Further clients with the same request that stay open meanwhile; their instances do not answer.
    std::vector<std::unique_ptr<TestConnection>> concurrent;
    for (int i = 0; i < c.value("crowd", 0); ++i) {
      concurrent.push_back(program->connect());
      concurrent.back()->send(request_text(c, defaults));
    }
    if (!concurrent.empty()) std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const auto wire = program->connect();
    wire->send(request_text(c, defaults));
    const std::string text = wire->receive_all();
    const std::string problem = mismatch(expect, read_response(text), instances.requests());
    if (problem.empty()) {
      ++result.passed;
      continue;
    }
    ++result.failed;
    std::printf("FAILED  %s / %s: %s\n%s\n", result.section.c_str(), name.c_str(), problem.c_str(),
                text.substr(0, 2000).c_str());
  }
  return result;
}

}  // namespace

int main(int argc, char** argv) {
  const std::filesystem::path folder = argc > 1 ? argv[1] : EIDERARCH_ROOT "/tests/conformance/cases";
  const std::string name_filter = argc > 2 ? argv[2] : "";
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) files.push_back(entry.path());
  std::ranges::sort(files);
  std::vector<SectionResult> results;
  for (const auto& file : files) {
    std::ifstream in(file);
    try {
      results.push_back(run(json::parse(in), name_filter));
    } catch (const std::exception& problem) {
      std::printf("FAILED  %s: %s\n", file.c_str(), problem.what());
      results.push_back({file.filename().string(), 0, 1});
    }
  }
  int passed = 0, failed = 0;
  std::printf("%-44s %7s %7s\n", "section", "passed", "failed");
  for (const SectionResult& result : results) {
    std::printf("%-44s %7d %7d\n", result.section.c_str(), result.passed, result.failed);
    passed += result.passed;
    failed += result.failed;
  }
  std::printf("%-44s %7d %7d\n", "all", passed, failed);
  return failed == 0 && passed > 0 ? 0 : 1;
}
