#include "fakes/cloud.h"

namespace beaconsill::fakes {

Cloud::Cloud(asio::io_context& io) {
  server = std::make_shared<HttpServer>(
      io, any_port(), net::ServerLimits{}, [](const Request&) { return false; },
      [this](Request r, HttpServer::Reply reply) {
        if (r.path == "/catalog")
          return reply(
              {200,
               R"({"hulls":[{"sku":"t4","vcpus":4,"cards":0,"memoryGb":16,"localGb":20,"pullGbPerS":1.0,
            "hourly":1.0,"lowPrice":0.5,"readyS":5,"harbours":["east","west"]}]})"});
        if (r.path == "/machines" && r.method == "GET") ++lists;
        if (r.path == "/machines" && r.method == "GET" && lists_silent) return unanswered.push_back(reply);
        if (r.path == "/machines" && r.method == "GET") return reply({200, R"({"beacons":[],"more":false})"});
        if (r.path == "/machines/delete") {
          for (auto& n : Json::parse(r.body)["beacons"]) deleted.insert(n.get<std::string>());
          return reply({200, "{}"});
        }
        reply({503, R"({"error":"no capacity"})"});
      });
  server->start();
}

}  // namespace beaconsill::fakes
