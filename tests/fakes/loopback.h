// What all fakes need to listen on loopback.
#pragma once

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
// As "address:port".
std::string text(const Tcp::endpoint& endpoint);
// The parameters of a URL's query.
std::map<std::string, std::string> parse_query(const std::string& query);

}  // namespace beaconsill::fakes
