#include "app/page_commands.hpp"

#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>

#include "config/address.hpp"
#include "net/loop/loop.hpp"

namespace bankmux::app {

namespace {

using nlohmann::json;
constexpr int kTimeoutSeconds = 5;

struct Response {
  int status = 0;
  std::string body;
};

// Sends a GET request and blocks until the response; a status of 0 means that none came.
Response fetch(const config::Address& at, const std::string& path) {
  struct Exchange {
    net::Loop loop;
    Response response;
  } exchange;
  const std::unique_ptr<evhttp_connection, net::Deleter<evhttp_connection_free>> connection(
      evhttp_connection_base_bufferevent_new(exchange.loop.base(), nullptr, nullptr, at.host.c_str(),
                                             at.port));
  evhttp_connection_set_timeout(connection.get(), kTimeoutSeconds);
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request* response, void* self) {
        auto& exchange = *static_cast<Exchange*>(self);
        if (response != nullptr) {
          exchange.response.status = evhttp_request_get_response_code(response);
          evbuffer* input = evhttp_request_get_input_buffer(response);
          exchange.response.body.resize(evbuffer_get_length(input));
          evbuffer_remove(input, exchange.response.body.data(), exchange.response.body.size());
        }
        exchange.loop.stop();
      },
      &exchange);
  evhttp_add_header(evhttp_request_get_output_headers(request), "Host", at.host.c_str());
  evhttp_make_request(connection.get(), request, EVHTTP_REQ_GET, path.c_str());
  exchange.loop.run();
  return exchange.response;
}

// Returns the JSON object at `path`. Without one, prints the reason, sets `code` to the exit code and returns
// nullopt.
std::optional<json> fetch_json(const std::string& connect, const std::string& path, int& code) {
  const auto at = config::Address::parse(connect);
  if (!at) {
    std::fprintf(stderr, "bankmux: '--connect' is not an IPv4 address and port: '%s'\n", connect.c_str());
    code = 2;
    return std::nullopt;
  }
  const Response response = fetch(*at, path);
  json value = json::parse(response.body, nullptr, false);
  code = 1;
  if (response.status == 0) {
    std::fprintf(stderr, "bankmux: no answer from %s; is it an appliance's 'operator_listen'?\n",
                 connect.c_str());
  } else if (response.status != 200 || !value.is_object()) {
    std::fprintf(stderr, "bankmux: the page at %s is not an appliance's\n", connect.c_str());
  } else {
    code = 0;
    return value;
  }
  return std::nullopt;
}

std::string limit_text(const json& limit) {
  if (limit.is_null()) return "-";
  return limit["left"].dump() + " of " + limit["limit"].dump();
}

std::string percent_encoded(const std::string& text) {
  const std::unique_ptr<char, net::Deleter<std::free>> out(
      evhttp_uriencode(text.data(), ssize_t(text.size()), 0));
  return out.get();
}

}  // namespace

int tenants_command(const std::string& connect, bool as_json) {
  int code = 0;
  const auto response = fetch_json(connect, "/-/tenants", code);
  if (!response) return code;
  if (as_json) {
    std::printf("%s\n", response->dump(2).c_str());
    return 0;
  }
  if (!response->value("keyed", false)) std::printf("no file of keys: all requests count as one tenant\n");
  std::printf("%-24s %6s %9s %11s %8s %11s %9s %9s\n", "TENANT", "OPEN", "ADMITTED", "TOKENS", "LIMITED",
              "OVER SHARE", "HELD OFF", "REPLAYED");
  for (const json& t : response->at("tenants")) {
    const auto counter = [&t](const char* name) { return t.at(name).get<unsigned long long>(); };
    const std::string name = t.at("tenant");
    std::printf("%-24s %6llu %9llu %11llu %8llu %11llu %9llu %9llu\n", name.empty() ? "(all)" : name.c_str(),
                counter("open"), counter("admitted"), counter("tokens"), counter("limited"),
                counter("over_share"), counter("held_off"), counter("replayed"));
    for (const json& key : t.value("keys", json::array())) {
      std::printf("  key %s   requests/min %s   tokens/min %s   open %s\n",
                  key.at("id").get<std::string>().c_str(), limit_text(key.at("requests_per_minute")).c_str(),
                  limit_text(key.at("tokens_per_minute")).c_str(), limit_text(key.at("open")).c_str());
    }
  }
  return 0;
}

int ledger_command(const std::string& connect, const std::string& key, const std::string& tenant,
                   bool as_json) {
  int code = 0;
  auto response = fetch_json(connect, "/-/ledger/" + percent_encoded(key), code);
  if (!response) return code;
  json entries = json::array();
  for (json& entry : response->at("entries")) {
    if (tenant.empty() || entry.at("tenant") == tenant) entries.push_back(std::move(entry));
  }
  (*response)["entries"] = entries;
  if (as_json) std::printf("%s\n", response->dump(2).c_str());
  if (entries.empty()) {
    if (!as_json) std::printf("nothing is kept under '%s': a request with it would be run\n", key.c_str());
    return 1;
  }
  for (const json& e : as_json ? json::array() : entries) {
    const std::string state = e.at("state"), owner = e.at("tenant");
    std::printf("tenant %s: ", owner.empty() ? "(all)" : owner.c_str());
    if (state == "running") {
      std::printf("running; %s; a repeat gets 409\n",
                  e.at("may_have_run").get<bool>() ? "it may be running at a box" : "not yet sent to a box");
    } else if (state == "answered") {
      std::printf("ended %.0f s ago with status %d; a repeat gets that answer (%zu bytes) again\n",
                  e.at("ended_s_ago").get<double>(), e.at("status").get<int>(),
                  e.at("answer_bytes").get<std::size_t>());
    } else {
      std::printf(
          "ended %.0f s ago, may have run, and its answer is not known; a repeat gets outcome_unknown\n",
          e.at("ended_s_ago").get<double>());
    }
  }
  return 0;
}

int duties_command(const std::string& connect, bool as_json) {
  int code = 0;
  const auto response = fetch_json(connect, "/-/duties", code);
  if (!response) return code;
  if (as_json) {
    std::printf("%s\n", response->dump(2).c_str());
    return 0;
  }
  std::string members;
  for (const json& member : response->at("members"))
    members += (members.empty() ? "" : ", ") + member.get<std::string>();
  std::printf("here %s   members %s   store %s\n", response->at("member").get<std::string>().c_str(),
              members.empty() ? "none" : members.c_str(), response->at("store").get<std::string>().c_str());
  if (response->at("set_back").get<bool>())
    std::printf("the store was set back: nothing is owned here until a restart\n");
  const auto age = [](const json& row, const char* name) {
    char text[32] = "-";
    if (row.contains(name)) std::snprintf(text, sizeof text, "%.1f s", row[name].get<double>());
    return std::string(text);
  };
  std::printf("%-12s %-20s %-5s %8s %10s %10s %8s %8s\n", "DUTY", "OWNER", "HERE", "TOKEN", "SINCE",
              "LAST ACT", "ACTS", "REFUSED");
  for (const json& row : response->at("duties")) {
    std::printf("%-12s %-20s %-5s %8llu %10s %10s %8llu %8llu\n", row.at("duty").get<std::string>().c_str(),
                row.at("owner").is_null() ? "nobody" : row.at("owner").get<std::string>().c_str(),
                row.at("here").get<bool>() ? "yes" : "no", row.value("token", 0ULL),
                age(row, "since_s").c_str(), age(row, "last_act_s").c_str(), row.value("acts", 0ULL),
                row.value("refused", 0ULL));
  }
  return 0;
}

}  // namespace bankmux::app
