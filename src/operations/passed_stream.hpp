// How one process of a conductor tells the next of a stream that runs: one message, CBOR (RFC 8949), with the
// two connections' descriptors beside it. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/conductor.hpp"

namespace bankmux::operations {

// What the one that takes over says first: which format it reads. Others are not spoken to.
constexpr std::string_view kStreamsHello = "bankmux-streams 1\n";

constexpr std::size_t kMostMessage = 160 * 1024;  // of one stream; what is longer is not passed on

struct PassedStream {
  std::string name;            // of the request, at the instances
  core::RunningStream stream;  // without payload and descriptors
};

// Empty where it would be too long.
std::string encode(const std::string& name, const core::RunningStream& stream);
// Nothing where it is not what encode() writes, or a figure is out of its range.
std::optional<PassedStream> decode_stream(std::string_view message);

}  // namespace bankmux::operations
