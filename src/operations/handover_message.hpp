// The message by which one process of a conductor hands a running stream over to the next: CBOR (RFC 8949),
// sent together with the descriptors of the client's and the instance's connection. Does no I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/conductor.hpp"

namespace bankmux::operations {

// The first text that the receiving process sends: the format that it reads. The sender serves no other
// format.
constexpr std::string_view kStreamFormatLine = "bankmux-streams 1\n";

// Bytes of one stream's message; a stream with a longer one is not handed over.
constexpr std::size_t kMaxMessageBytes = 160 * 1024;

struct HandedOverStream {
  std::string name;            // the request's name at the instances
  core::RunningStream stream;  // without payload and descriptors
};

// Returns an empty string if the message would exceed kMaxMessageBytes bytes.
std::string encode(const std::string& name, const core::RunningStream& stream);
// Returns nullopt if the message is not in encode()'s format or a number is out of range.
std::optional<HandedOverStream> decode_handover_message(std::string_view message);

}  // namespace bankmux::operations
