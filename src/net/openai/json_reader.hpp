// Reads a request's body as JSON, strictly and within bounds. What two readers may take for different things
// is an error: duplicate keys, bytes that are not UTF-8, lone surrogates, numbers beyond a double, anything
// after the end. Pure.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace bankmux::net::openai {

struct JsonLimits {
  int depth = 64;                // schemas of tools nest deepest, about 20
  std::size_t values = 250'000;  // a tree of so many takes some 30 MB for the moment of its reading
};

// An object; throws RequestError that says where the text goes wrong, or which key is there twice.
nlohmann::json read_json(std::string_view text, const JsonLimits& limits = {});

}  // namespace bankmux::net::openai
