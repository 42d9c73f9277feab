// An IPv4 address with a port, such as "127.0.0.1:7070".
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace bankmux::config {

struct Address {
  std::string host;
  std::uint16_t port = 0;
  // Returns nullopt if `text` is not a dotted IPv4 address, a colon and a decimal port.
  [[nodiscard]] static std::optional<Address> parse(const std::string& text);
};

}  // namespace bankmux::config
