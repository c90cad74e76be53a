// Fake of the cloud's API, as far as the protocol needs for the service to run on loopback.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakes/loopback.h"

namespace beaconsill::fakes {

// Rents nothing; knows one type.
class Cloud {
 public:
  explicit Cloud(asio::io_context& io);
  std::set<std::string> deleted;
  int lists = 0;              // requests for the list of machines
  bool lists_silent = false;  // they get no answer
  std::vector<HttpServer::Reply> unanswered;
  std::shared_ptr<HttpServer> server;
};

}  // namespace beaconsill::fakes
