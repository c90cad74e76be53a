// Fake of the agent on a worker: sends heartbeats to the controllers and executes the commands that it
// receives over HTTP on loopback, without running any processes.
#pragma once

#include <asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakes/loopback.h"

namespace beaconsill::fakes {

// Tasks of array jobs complete after `heartbeats_until_done` heartbeats; tasks of services run until they are
// stopped.
class Worker {
 public:
  Worker(asio::io_context& io, std::string name, std::string zone, std::vector<Tcp::endpoint> controllers,
         std::vector<std::string> controller_names);
  void stop();
  struct Task {
    std::string id;
    std::uint64_t attempt;
    int age = 0;  // number of heartbeats sent while it was running
    std::string state = "running";
    std::string cause;
  };
  std::vector<Task> tasks;
  std::set<std::string> services;  // ids of the jobs whose tasks never complete
  int heartbeats_until_done = 3;
  int started = 0;   // tasks started
  int answered = 0;  // heartbeats that a shard leader with a current fencing token answered
  std::vector<std::string> executed_commands;  // bodies of the command requests that were executed
  std::uint64_t token = 0;                     // the highest fencing token seen
  std::shared_ptr<HttpServer> server;

 private:
  Json heartbeat_body();
  Response handle(const Request& request);
  void send_heartbeat();

  asio::io_context& io_;
  std::string name_, zone_;
  std::vector<Tcp::endpoint> controllers_;
  std::vector<std::string> controller_names_;  // in the order of `controllers_`
  asio::steady_timer timer_;
  std::shared_ptr<net::HttpClient> client_;
  std::size_t current_controller_ = 0;  // index of the controller that heartbeats are sent to
  std::uint64_t sequence_ = 0;          // number of the last heartbeat
  bool stopped_ = false;
};

}  // namespace beaconsill::fakes
