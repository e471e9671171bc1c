#include "util/address.hpp"

#include <arpa/inet.h>

#include "util/number.hpp"

namespace curlewdoor {

sockaddr_in Address::ToSocket() const {
  sockaddr_in socket{};
  socket.sin_family = AF_INET;
  socket.sin_addr.s_addr = htonl(ip);
  socket.sin_port = htons(port);
  return socket;
}

std::string Address::ToText() const {
  char text[INET_ADDRSTRLEN];
  const in_addr address{htonl(ip)};
  inet_ntop(AF_INET, &address, text, sizeof text);
  return std::string(text) + ":" + std::to_string(port);
}

std::optional<Address> ParseAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Address address;
  if (!ParseNumber(text.substr(colon + 1), address.port)) return std::nullopt;
  in_addr ip{};
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &ip) != 1) return std::nullopt;
  address.ip = ntohl(ip.s_addr);
  return address;
}

}  // namespace curlewdoor
