// What the HTTP/1.1 server and client share.
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
  std::string query;  // after '?'
  std::string body;
};

struct Response {
  int status = 200;
  std::string body;  // JSON
  std::optional<int> retry_after_s;
  bool close = false;  // close the connection after it
};

// "10.0.0.1:8080"; addresses are IP numbers, there are no name look-ups. None: the text is no such address.
std::optional<Tcp::endpoint> parse_endpoint(std::string_view text);

}  // namespace beaconsill::net
