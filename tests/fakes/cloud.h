// Fake of the cloud's API: an HTTP server on loopback that implements the subset of the protocol that the
// controllers use.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakes/loopback.h"

namespace beaconsill::fakes {

// Offers one machine type. Every request to rent machines fails for lack of capacity, and the list of
// machines is empty.
class Cloud {
 public:
  explicit Cloud(asio::io_context& io);
  std::set<std::string> deleted;              // names of the machines whose deletion was requested
  int list_requests = 0;                      // number of requests for the list of machines
  bool ignore_list_requests = false;          // these requests are not answered
  std::vector<HttpServer::Reply> unanswered;  // callbacks of the list requests that were not answered
  std::shared_ptr<HttpServer> server;
};

}  // namespace beaconsill::fakes
