// Types and address parsing that the HTTP/1.1 server and the HTTP/1.1 client share.
#pragma once

#include <asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "base/types.h"

namespace beaconsill::net {

using Tcp = asio::ip::tcp;

struct Request {
  std::string method;
  std::string path;   // without the query
  std::string query;  // the part after '?'; may be empty
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;  // JSON
  std::optional<int> retry_after_s;
  bool close = false;  // the server closes the connection after sending the response
};

// Parses an IP address and a port, such as "10.0.0.1:8080". Host names are not resolved. Returns std::nullopt
// if the text has another form.
std::optional<Tcp::endpoint> parse_endpoint(std::string_view text);

}  // namespace beaconsill::net
