#include "net/http.h"

#include <system_error>

#include "base/parse_number.h"

namespace beaconsill::net {

std::optional<Tcp::endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::error_code address_error;
  const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), address_error);
  const auto port = parse_number<std::uint16_t>(text.substr(colon + 1));
  if (address_error || !port) return std::nullopt;
  return Tcp::endpoint(address, *port);
}

}  // namespace beaconsill::net
