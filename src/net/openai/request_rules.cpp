#include "net/openai/request_rules.hpp"

namespace bankmux::net::openai {

namespace {

constexpr bool kRequired = true;
constexpr double kMaxTokens = 1e6;
constexpr double kMaxSeed = 9.3e18;  // 64 bits, signed
constexpr std::size_t kMaxIdBytes = 256;

Rule text() { return Rule::text(); }
Rule name() { return Rule::text(1, 64); }
Rule id() { return Rule::text(1, kMaxIdBytes); }
Rule tokens() { return Rule::integer(1, kMaxTokens); }
Rule free_object() { return Rule::object({}); }

Members text_part() { return {{"text", text(), kRequired}}; }

Rule texts() { return text() | Rule::list(Rule::variant("type", {{"text", text_part()}}), 1); }

Rule user_content() {
  return text() |
         Rule::list(
             Rule::variant(
                 "type",
                 {{"text", text_part()},
                  {"image_url",
                   {{"image_url",
                     Rule::object({{"url", Rule::text(1), kRequired},
                                   {"detail", Rule::one_of({"auto", "low", "high"})}}),
                     kRequired}}},
                  {"input_audio",
                   {{"input_audio",
                     Rule::object({{"data", Rule::text(1), kRequired},
                                   {"format", Rule::one_of({"wav", "mp3"}), kRequired}}),
                     kRequired}}},
                  {"file",
                   {{"file", Rule::object({{"file_data", text()}, {"file_id", id()}, {"filename", text()}}),
                     kRequired}}}}),
             1);
}

Rule assistant_content() {
  return text() | Rule::list(Rule::variant("type", {{"text", text_part()},
                                                    {"refusal", {{"refusal", text(), kRequired}}}}),
                             1);
}

Rule tool_calls() {
  return Rule::list(
      Rule::variant(
          "type",
          {{"function",
            {{"id", id(), kRequired},
             {"function", Rule::object({{"name", name(), kRequired}, {"arguments", text(), kRequired}}),
              kRequired}}},
           {"custom",
            {{"id", id(), kRequired},
             {"custom", Rule::object({{"name", name(), kRequired}, {"input", text(), kRequired}}),
              kRequired}}}},
          "function"),
      1, 128);
}

Rule message() {
  const Member sender_name{"name", name()};
  return Rule::variant(
      "role",
      {{"system", {{"content", texts(), kRequired}, sender_name}},
       {"developer", {{"content", texts(), kRequired}, sender_name}},
       {"user", {{"content", user_content(), kRequired}, sender_name}},
       {"assistant",
        {{"content", assistant_content()},
         {"refusal", text()},
         {"audio", Rule::object({{"id", id(), kRequired}})},
         {"tool_calls", tool_calls()},
         {"function_call", Rule::object({{"name", name(), kRequired}, {"arguments", text(), kRequired}})},
         sender_name}},
       {"tool", {{"content", texts(), kRequired}, {"tool_call_id", id(), kRequired}}},
       {"function", {{"content", text()}, {"name", name(), kRequired}}}});
}

Members function_members() {
  return {{"name", name(), kRequired},
          {"description", text()},
          {"parameters", free_object()},
          {"strict", Rule::boolean()}};
}

Rule tools() {
  return Rule::list(
      Rule::variant(
          "type",
          {{"function", {{"function", Rule::object(function_members()), kRequired}}},
           {"custom",
            {{"custom",
              Rule::object({{"name", name(), kRequired}, {"description", text()}, {"format", free_object()}}),
              kRequired}}}}),
      0, 128);
}

Rule tool_choice() {
  const Rule named = Rule::object({{"name", name(), kRequired}});
  return Rule::one_of({"none", "auto", "required"}) |
         Rule::variant("type", {{"function", {{"function", named, kRequired}}},
                                {"custom", {{"custom", named, kRequired}}},
                                {"allowed_tools", {{"allowed_tools", free_object(), kRequired}}}});
}

Members json_schema() {
  return {{"name", name(), kRequired},
          {"description", text()},
          {"schema", free_object()},
          {"strict", Rule::boolean()}};
}

Rule response_format() {
  return Rule::variant("type", {{"text", {}},
                                {"json_object", {}},
                                {"json_schema", {{"json_schema", Rule::object(json_schema()), kRequired}}}});
}

Rule stop() { return text() | Rule::list(Rule::text(1), 0, 4); }
Rule metadata() { return Rule::map(Rule::text(0, 512), 16, 64); }
Rule logit_bias() { return Rule::map(Rule::number(-100, 100), 1024, 16); }
Rule effort() { return Rule::one_of({"none", "minimal", "low", "medium", "high", "xhigh"}); }
Rule verbosity() { return Rule::one_of({"low", "medium", "high"}); }
Rule service_tier() { return Rule::one_of({"auto", "default", "flex", "scale", "priority"}); }

// The fields that all three endpoints share.
Members common() {
  return {{"model", Rule::text(1, 256), kRequired},
          {"stream", Rule::boolean()},
          {"stream_options",
           Rule::object({{"include_usage", Rule::boolean()}, {"include_obfuscation", Rule::boolean()}})},
          {"temperature", Rule::number(0, 2)},
          {"top_p", Rule::number(0, 1)},
          {"user", text()},
          {"metadata", metadata()},
          {"prompt_cache_key", Rule::text(0, 1024)},
          {"safety_identifier", Rule::text(0, 1024)},
          {"service_tier", service_tier()},
          {"store", Rule::boolean()}};
}

// The sampling fields of chat completions and completions.
Members sampling() {
  return {{"frequency_penalty", Rule::number(-2, 2)},
          {"presence_penalty", Rule::number(-2, 2)},
          {"logit_bias", logit_bias()},
          {"n", Rule::integer(1, 128)},
          {"seed", Rule::integer(-kMaxSeed, kMaxSeed)},
          {"stop", stop()}};
}

Rule with(std::initializer_list<Members> parts) {
  Members all;
  for (const Members& part : parts) all.insert(all.end(), part.begin(), part.end());
  return Rule::object(std::move(all));
}

// The content of an input item of /v1/responses.
Rule item_content() {
  return text() |
         Rule::list(
             Rule::variant(
                 "type", {{"input_text", text_part()},
                          {"output_text", text_part()},
                          {"refusal", {{"refusal", text(), kRequired}}},
                          {"input_image",
                           {{"image_url", Rule::text(1), kRequired},
                            {"detail", Rule::one_of({"auto", "low", "high"})}}},
                          {"input_file", {{"file_data", text()}, {"file_id", id()}, {"filename", text()}}}}),
             1);
}

Rule items() {
  return Rule::list(
      Rule::variant(
          "type",
          {{"message",
            {{"role", Rule::one_of({"system", "developer", "user", "assistant"}), kRequired},
             {"content", item_content(), kRequired}}},
           {"function_call",
            {{"call_id", id(), kRequired}, {"name", name(), kRequired}, {"arguments", text(), kRequired}}},
           {"function_call_output",
            {{"call_id", id(), kRequired},
             {"output", text() | Rule::list(Rule::variant("type", {{"input_text", text_part()}}), 1),
              kRequired}}},
           {"reasoning", {}}},
          "message"),
      1);
}

}  // namespace

const Rule& chat_rules() {
  static const Rule kRules =
      with({common(),
            sampling(),
            {{"messages", Rule::list(message(), 1), kRequired},
             {"audio",
              Rule::object({{"voice", Rule::any(), kRequired}, {"format", Rule::text(1, 16), kRequired}})},
             {"function_call", Rule::one_of({"none", "auto"}) | Rule::object({{"name", name(), kRequired}})},
             {"functions", Rule::list(Rule::object(function_members()), 1, 128)},
             {"logprobs", Rule::boolean()},
             {"max_completion_tokens", tokens()},
             {"max_tokens", tokens()},
             {"modalities", Rule::list(Rule::one_of({"text", "audio"}), 1, 2)},
             {"parallel_tool_calls", Rule::boolean()},
             {"prediction", Rule::variant("type", {{"content", {{"content", texts(), kRequired}}}})},
             {"reasoning_effort", effort()},
             {"response_format", response_format()},
             {"tool_choice", tool_choice()},
             {"tools", tools()},
             {"top_logprobs", Rule::integer(0, 20)},
             {"verbosity", verbosity()},
             {"web_search_options", free_object()}}});
  return kRules;
}

const Rule& completion_rules() {
  static const Rule kRules = with({common(),
                                   sampling(),
                                   {{"prompt", text() | Rule::list(text(), 1, 128), kRequired},
                                    {"best_of", Rule::integer(1, 20)},
                                    {"echo", Rule::boolean()},
                                    {"logprobs", Rule::integer(0, 5)},
                                    {"max_tokens", Rule::integer(0, kMaxTokens)},
                                    {"suffix", text()}}});
  return kRules;
}

const Rule& response_rules() {
  static const Rule kRules = with(
      {common(),
       {{"input", text() | items(), kRequired},
        {"background", Rule::boolean()},
        {"include", Rule::list(text(), 0, 16)},
        {"instructions", text()},
        {"max_output_tokens", tokens()},
        {"max_tool_calls", Rule::integer(1, 1000)},
        {"parallel_tool_calls", Rule::boolean()},
        {"reasoning",
         Rule::object({{"effort", effort()}, {"summary", Rule::one_of({"auto", "concise", "detailed"})}})},
        {"text", Rule::object({{"format", Rule::variant("type", {{"text", {}},
                                                                 {"json_object", {}},
                                                                 {"json_schema", json_schema()}})},
                               {"verbosity", verbosity()}})},
        {"tool_choice", Rule::one_of({"none", "auto", "required"}) |
                            Rule::variant("type", {{"function", {{"name", name(), kRequired}}}})},
        {"tools", Rule::list(Rule::variant("type", {{"function", function_members()}}), 0, 128)},
        {"top_logprobs", Rule::integer(0, 20)},
        {"truncation", Rule::one_of({"auto", "disabled"})}}});
  return kRules;
}

}  // namespace bankmux::net::openai
