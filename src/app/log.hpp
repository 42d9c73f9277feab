// The one way to the log: standard error, at most so many lines a second for each topic.
#pragma once

#include <string>

namespace bankmux::app {

void log(const char* topic, const std::string& text);

}  // namespace bankmux::app
