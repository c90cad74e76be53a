#include "fakes/cloud.h"

namespace beaconsill::fakes {

Cloud::Cloud(asio::io_context& io) {
  server = std::make_shared<HttpServer>(
      io, any_port(), net::ServerLimits{}, [](const Request&) { return false; },
      [this](Request request, HttpServer::Reply reply) {
        if (request.path == "/catalog")
          return reply(
              {200,
               R"({"hulls":[{"sku":"t4","vcpus":4,"cards":0,"memoryGb":16,"localGb":20,"pullGbPerS":1.0,
            "hourly":1.0,"lowPrice":0.5,"readyS":5,"harbours":["east","west"]}]})"});
        if (request.path == "/machines" && request.method == "GET") ++list_requests;
        if (request.path == "/machines" && request.method == "GET" && ignore_list_requests)
          return unanswered.push_back(reply);
        if (request.path == "/machines" && request.method == "GET")
          return reply({200, R"({"beacons":[],"more":false})"});
        if (request.path == "/machines/delete") {
          for (auto& name : Json::parse(request.body)["beacons"]) deleted.insert(name.get<std::string>());
          return reply({200, "{}"});
        }
        reply({503, R"({"error":"no capacity"})"});
      });
  server->start();
}

}  // namespace beaconsill::fakes
