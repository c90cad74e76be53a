// Fake of a worker's agent, as far as the protocol needs for the service to run on loopback.
#pragma once

#include <asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakes/loopback.h"

namespace beaconsill::fakes {

// A worker whose array tasks complete after `run_reports` heartbeats.
class Worker {
 public:
  Worker(asio::io_context& io, std::string name, std::string zone, std::vector<Tcp::endpoint> controllers,
         std::vector<std::string> names);
  void stop();
  struct Task {
    std::string id;
    std::uint64_t attempt;
    int age = 0;
    std::string state = "running";
    std::string cause;
  };
  std::vector<Task> tasks;
  std::set<std::string> services;  // job ids that never complete
  int run_reports = 3;
  int started = 0;
  int answered = 0;  // heartbeats that a shard leader answered
  std::uint64_t token = 0;
  std::shared_ptr<HttpServer> server;

 private:
  Json body();
  Response handle(const Request& r);
  void heartbeat();

  asio::io_context& io_;
  std::string name_, zone_;
  std::vector<Tcp::endpoint> controllers_;
  std::vector<std::string> names_;
  asio::steady_timer timer_;
  std::shared_ptr<net::HttpClient> client_;
  std::size_t at_ = 0;
  std::uint64_t sequence_ = 0;
  bool stopped_ = false;
};

}  // namespace beaconsill::fakes
