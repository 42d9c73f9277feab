// Parses a request's body as JSON, strictly and within limits. Input that two parsers could interpret
// differently is an error: duplicate keys, invalid UTF-8, lone surrogates, numbers outside the range of a
// double, and data after the end. No I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace bankmux::net::openai {

struct JsonLimits {
  int depth = 64;                // the schemas of tools nest deepest, about 20 levels
  std::size_t values = 250'000;  // a tree of this size takes about 30 MB while it is read
};

// Parses a JSON object. Throws RequestError that names the position of the error or the duplicate key.
nlohmann::json read_json(std::string_view text, const JsonLimits& limits = {});

}  // namespace bankmux::net::openai
