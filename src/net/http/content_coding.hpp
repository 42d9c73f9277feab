// Decodes request bodies by Content-Encoding (RFC 9110, section 8.4: gzip, deflate, zstd). Decodes in pieces,
// so that a decompression bomb costs no more memory than the limit. Pure functions.
#pragma once

#include <string>
#include <string_view>

namespace bankmux::net {

enum class DecodeResult { done, unknown, broken, too_large };

struct DecodedBody {
  DecodeResult coding = DecodeResult::done;
  std::string body;  // set if `coding` is done
};

// Decoded bytes per encoded byte above which a body is rejected as a decompression bomb. Ordinary JSON
// prompts reach 20, runs of a single letter 1,000.
constexpr std::size_t kMaxExpansionRatio = 200;

// Whether decode_body() supports the coding.
[[nodiscard]] bool is_supported_coding(std::string_view coding);
// `coding`: a Content-Encoding value with a single coding; empty and "identity" return the body unchanged.
// `max_size`: upper bound of the decoded size in bytes.
DecodedBody decode_body(std::string_view coding, std::string body, std::size_t max_size);

}  // namespace bankmux::net
