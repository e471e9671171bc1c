// An IPv4 address with its port.
#pragma once

#include <netinet/in.h>

#include <optional>
#include <string>
#include <string_view>

namespace curlewdoor {

struct Address {
  std::uint32_t ip = 0;  // both in host order
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;

  sockaddr_in ToSocket() const;
  std::string ToText() const;
};

// Reads "10.0.0.4:9000". There is no DNS here.
std::optional<Address> ParseAddress(std::string_view text);

}  // namespace curlewdoor
