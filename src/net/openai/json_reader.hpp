// Parses a request's body as JSON, strictly and within limits. Input that two parsers could interpret
// differently is an error: duplicate keys, invalid UTF-8, lone surrogates, numbers outside the range of a
// double, and data after the end. No I/O.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>

namespace bankmux::net::openai {

struct JsonLimits {
  int depth = 64;                // the schemas of tools nest deepest, about 20 levels
  std::size_t values = 250'000;  // of a tree that takes about 35 MB while it is read
};

// Limits for trees that take at most `bytes` of memory, and not above the default ones.
[[nodiscard]] JsonLimits json_limits(std::size_t bytes);

// Parses a JSON object. Throws RequestError that names the position of the error or the duplicate key.
nlohmann::json read_json(std::string_view text, const JsonLimits& limits = {});

}  // namespace bankmux::net::openai
