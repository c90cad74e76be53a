// What all fakes need to listen on loopback.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "net/http_client.h"
#include "net/http_server.h"
#include "protocol/json.h"

namespace beaconsill::fakes {

using net::HttpServer;
using net::Request;
using net::Response;
using net::Tcp;
using protocol::Json;

// An ephemeral port of loopback.
Tcp::endpoint any_port();
// A port of loopback that stays bound, without listening, as long as this object lives. The kernel then gives
// it to nobody else, while a listener that names it may still bind it (both with SO_REUSEADDR), also
// repeatedly.
class ReservedPort {
 public:
  explicit ReservedPort(asio::io_context& io);
  const Tcp::endpoint& endpoint() const { return endpoint_; }

 private:
  Tcp::acceptor acceptor_;
  Tcp::endpoint endpoint_;
};

// Runs the loop until `done` holds, for at most `limit`. Returns whether it holds.
bool run_until(asio::io_context& io, const std::function<bool()>& done, Duration limit);

// As "address:port".
std::string text(const Tcp::endpoint& endpoint);
// The parameters of a URL's query.
std::map<std::string, std::string> parse_query(const std::string& query);

}  // namespace beaconsill::fakes
