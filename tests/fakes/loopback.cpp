#include "fakes/loopback.h"

#include <sstream>

namespace beaconsill::fakes {

Tcp::endpoint any_port() {
  return {asio::ip::make_address("127.0.0.1"), 0};
}

std::string text(const Tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

std::map<std::string, std::string> parse_query(const std::string& query) {
  std::map<std::string, std::string> parameters;
  std::istringstream in(query);
  for (std::string item; std::getline(in, item, '&');) {
    auto equals = item.find('=');
    parameters[item.substr(0, equals)] = equals == std::string::npos ? "" : item.substr(equals + 1);
  }
  return parameters;
}

}  // namespace beaconsill::fakes
