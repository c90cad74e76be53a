#include "fakes/loopback.h"

#include <sstream>

namespace beaconsill::fakes {

Tcp::endpoint any_port() {
  return {asio::ip::make_address("127.0.0.1"), 0};
}

ReservedPort::ReservedPort(asio::io_context& io) : acceptor_(io) {
  acceptor_.open(Tcp::v4());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(any_port());
  endpoint_ = acceptor_.local_endpoint();
}

bool run_until(asio::io_context& io, const std::function<bool()>& done, Duration limit) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!done() && std::chrono::steady_clock::now() < deadline) io.run_one_for(std::chrono::milliseconds(5));
  return done();
}

std::string to_string(const Tcp::endpoint& endpoint) {
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
