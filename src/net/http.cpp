#include "net/http.h"

#include <charconv>
#include <system_error>

namespace beaconsill::net {

std::optional<Tcp::endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::error_code address_error;
  const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), address_error);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_to, port_error] = std::from_chars(text.data() + colon + 1, end, port);
  if (address_error || port_error != std::errc() || parsed_to != end) return std::nullopt;
  return Tcp::endpoint(address, port);
}

}  // namespace beaconsill::net
