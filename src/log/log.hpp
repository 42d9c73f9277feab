// Structured log: JSON lines on standard error, rate-limited per topic. Depends on no other module.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace bankmux::log {

// `topic` selects the rate limit. Lines above the limit are dropped and counted; the count is logged before
// the topic's first line of the next second.
void write(const char* topic, const std::string& text);
// As above, with additional fields beside `time`, `level`, `topic` and `text`. `fields` must return an object
// and is called only if the line is not dropped.
void write(const char* topic, const std::string& text, const std::function<nlohmann::json()>& fields);

}  // namespace bankmux::log
