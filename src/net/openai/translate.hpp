// /v1/responses in terms of /v1/chat/completions and back, for boxes that speak only the latter. Text in and
// out, function tools, nothing stored. Pure: equal inputs give equal bytes.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bankmux::net::openai {

// The chat request for one that the rules of /v1/responses have passed. Throws RequestError naming what it
// asks for that cannot be had here: stored conversations, background work.
nlohmann::json to_chat_request(const nlohmann::json& request);

// What a response repeats of its request, and what names it.
struct ResponseEcho {
  std::string id;            // of the request; the response is resp_ and this
  std::int64_t created = 0;  // Unix seconds
  nlohmann::json request;    // as it came; its input is not kept
};
ResponseEcho echo_of(const nlohmann::json& request, std::string id, std::int64_t created);

// The response object for a whole chat completion; nothing where that is none.
std::optional<nlohmann::json> to_response(const nlohmann::json& completion, const ResponseEcho& echo);

// A stream of chat chunks to typed events. begin(), then chunk() for each, then finish() or fail().
class ResponseStream {
 public:
  explicit ResponseStream(ResponseEcho echo) : echo_(std::move(echo)) {}

  std::string begin();
  // One chunk's events; nothing for what is no chunk.
  std::string chunk(const nlohmann::json& chunk);
  // The last events. Its response is what to_response makes of the same answer in one piece.
  std::string finish();
  std::string fail(std::string_view code, std::string_view message);

 private:
  struct Item {
    nlohmann::json value;  // of the output list, with what has come so far
    std::string id;
  };
  std::string event(const char* type, nlohmann::json fields);
  std::size_t message_item(std::string& out);
  void text_delta(const char* kind, const char* field, const std::string& delta, std::string& out);
  void call_delta(const nlohmann::json& call, std::string& out);
  std::size_t add_item(nlohmann::json value, const char* prefix, std::string& out);
  [[nodiscard]] nlohmann::json response(const char* status) const;

  ResponseEcho echo_;
  std::int64_t sequence_ = 0;
  std::vector<Item> items_;
  std::optional<std::size_t> message_;
  std::map<std::int64_t, std::size_t> calls_;  // by the chunk's index of a call
  std::string finish_reason_;
  nlohmann::json usage_;
  std::string model_;
};

}  // namespace bankmux::net::openai
