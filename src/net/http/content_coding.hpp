// Expands the bodies of requests that come coded (RFC 9110, section 8.4: gzip, deflate, zstd). In pieces, so
// that a body made to expand without end costs no more than the limit. Pure.
#pragma once

#include <string>
#include <string_view>

namespace bankmux::net {

enum class Coding { done, unknown, broken, too_large };

struct Expanded {
  Coding coding = Coding::done;
  std::string body;  // where done
};

// Bytes of expanded text for each coded one, beyond which a body is taken for a bomb. JSON of ordinary
// prompts comes to 20; a run of one letter to 1,000.
constexpr std::size_t kMostExpansion = 200;

// Whether expand() knows the coding.
[[nodiscard]] bool known_coding(std::string_view coding);
// `coding`: the Content-Encoding header, one coding alone; "identity" and none hand the body back.
// `most`: bytes that the expanded body may have.
Expanded expand(std::string_view coding, std::string body, std::size_t most);

}  // namespace bankmux::net
