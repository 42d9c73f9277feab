// The one way to the log: JSON lines on standard error, at most so many a second for each topic.
// Lies below everything else; knows no other folder.
#pragma once

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace bankmux::log {

// `topic` groups lines that share one allowance. Lines beyond it are counted, and the next second's first
// line of the topic is preceded by the count.
void write(const char* topic, const std::string& text);
// The same with fields of its own beside `time`, `level`, `topic` and `text`: an object, made only where the
// line is not left out.
void write(const char* topic, const std::string& text, const std::function<nlohmann::json()>& fields);

}  // namespace bankmux::log
