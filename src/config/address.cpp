#include "config/address.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace bankmux::config {

std::optional<Address> Address::parse(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  Address address;
  address.host = text.substr(0, colon);
  in_addr ip{};
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(first, last, address.port);
  if (error != std::errc{} || end != last || inet_pton(AF_INET, address.host.c_str(), &ip) != 1)
    return std::nullopt;
  return address;
}

}  // namespace bankmux::config
