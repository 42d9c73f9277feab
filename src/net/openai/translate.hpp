// Translates /v1/responses to /v1/chat/completions and back, for instances that support only the latter.
// Covers text input and output and function tools; nothing is stored. Deterministic: equal inputs give equal
// bytes.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bankmux::net::openai {

// Translates a request that the rules of /v1/responses have accepted. Throws RequestError that names a
// feature which is not supported: stored conversations or background work.
nlohmann::json to_chat_request(const nlohmann::json& request);

// What a response repeats of its request, and its id.
struct ResponseEcho {
  std::string id;            // of the request; the response's id is resp_ followed by this
  std::int64_t created = 0;  // Unix seconds
  nlohmann::json request;    // without its input
};
ResponseEcho echo_of(const nlohmann::json& request, std::string id, std::int64_t created);

// The response object for a complete chat completion; nullopt if `completion` is not one.
std::optional<nlohmann::json> to_response(const nlohmann::json& completion, const ResponseEcho& echo);

// Translates a stream of chat chunks to typed events: call begin(), chunk() for each chunk, then finish() or
// fail().
class ResponseStream {
 public:
  explicit ResponseStream(ResponseEcho echo) : echo_(std::move(echo)) {}

  std::string begin();
  // The events for one chunk; empty if the value is not a chunk.
  std::string chunk(const nlohmann::json& chunk);
  // The final events. Their response equals to_response() for the same answer in one piece.
  std::string finish();
  std::string fail(std::string_view code, std::string_view message);

 private:
  struct Item {
    nlohmann::json value;  // entry of the output list, with what has been received so far
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
  std::map<std::int64_t, std::size_t> calls_;  // index in items_ by the chunk's tool-call index
  std::string finish_reason_;
  nlohmann::json usage_;
  std::string model_;
};

}  // namespace bankmux::net::openai
