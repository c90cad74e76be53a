// Helpers of the fakes and tests that use loopback sockets: addresses, reserved ports and running the event
// loop.
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

// The loopback address with port 0, for which the kernel assigns an ephemeral port on bind.
Tcp::endpoint any_port();
// A loopback port that is bound, without listening, for the lifetime of this object. The kernel does not
// assign it as an ephemeral port during that time, while a listener can still bind to it explicitly, also
// repeatedly: both sockets use SO_REUSEADDR.
class ReservedPort {
 public:
  explicit ReservedPort(asio::io_context& io);
  const Tcp::endpoint& endpoint() const { return endpoint_; }

 private:
  Tcp::acceptor acceptor_;
  Tcp::endpoint endpoint_;
};

// Runs the event loop until `done` returns true, for at most `limit`. Returns the last result of `done`.
bool run_until(asio::io_context& io, const std::function<bool()>& done, Duration limit);

// Formats an endpoint as "address:port".
std::string to_string(const Tcp::endpoint& endpoint);
// Splits the query string of a URL into its parameters. Percent-encoding is not decoded.
std::map<std::string, std::string> parse_query(const std::string& query);

}  // namespace beaconsill::fakes
