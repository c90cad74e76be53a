// Provides settings and an event loop with fakes for tests that run real controllers on the loopback
// interface.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/log.h"
#include "config/settings.h"
#include "fakes/cloud.h"
#include "fakes/state_store.h"
#include "fakes/worker.h"
#include "job_submission.h"
#include "net/http_client.h"

namespace beaconsill {

// Returns the settings of controller `n<number>`, which uses its own endpoint of the fake state store. The
// caller sets the listen addresses, peers, zones and teams.
inline config::Settings controller_settings(const fakes::StateStore& state, const fakes::Cloud& cloud,
                                            std::size_t number) {
  config::Settings settings;
  settings.controller = ControllerName("n" + std::to_string(number));
  settings.cloud_address = fakes::to_string(cloud.server->local());
  settings.state_store_address = fakes::to_string(state.servers[number]->local());
  settings.worker_heartbeat_period_s = 0.2;
  settings.lease_s = 5;
  settings.cancel_s = 20;
  settings.state_rps = 1000;
  settings.state_write_rps = 500;
  settings.value_kb = 8;
  settings.txn_ops = 16;
  settings.cloud_rps = 50;
  settings.list_lag_s = 1;
  settings.cpu_share = 1;
  settings.memory_mb = 64;
  settings.max_connections = 200;
  return settings;
}

// Whether the request is a transaction that sets a key beginning with `prefix`.
inline bool is_txn_that_sets(const fakes::Request& request, std::string_view prefix) {
  if (request.path != "/txn") return false;
  auto txn = fakes::Json::parse(request.body);
  return std::any_of(txn["writes"].begin(), txn["writes"].end(),
                     [&](const fakes::Json& write) { return write.value("set", "").starts_with(prefix); });
}

struct HttpResponse {
  int status = 0;  // 0 if there was no response
  std::optional<int> retry_after_s;
  fakes::Json body;
};

// An event loop with a fake state store and a fake cloud. The destructor of a derived class must stop its own
// components and call io.poll(): handlers that are already queued can't be cancelled, and have to run before
// the objects that they use are destroyed.
struct EventLoopFixture {
  EventLoopFixture() : state(io), cloud(io) { spdlog::set_level(spdlog::level::err); }
  ~EventLoopFixture() {
    for (auto& door : state.servers) door->stop();
    cloud.server->stop();
    io.poll();
  }
  // Runs the event loop until `done` returns true. Returns false if it did not within `limit`.
  bool run_until(const std::function<bool()>& done, std::chrono::seconds limit = std::chrono::seconds(30)) {
    return fakes::run_until(io, done, limit);
  }
  void run_for(std::chrono::milliseconds duration) {
    auto deadline = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < deadline) io.run_one_for(std::chrono::milliseconds(20));
  }
  HttpResponse request(const net::Tcp::endpoint& to, const char* method, const std::string& path,
                       const std::string& body = "") {
    auto client = std::make_shared<net::HttpClient>(io, to, 1);
    std::optional<HttpResponse> response;
    client->request(method, path, body, std::chrono::seconds(5), [&](net::Result result) {
      response = HttpResponse{};
      if (result)
        response = {result->status, result->retry_after_s, fakes::Json::parse(result->body, nullptr, false)};
    });
    EXPECT_TRUE(run_until([&] { return response.has_value(); })) << path;
    client->stop();
    return response.value_or(HttpResponse{});
  }

  asio::io_context io;
  SystemClock clock;
  fakes::StateStore state;
  fakes::Cloud cloud;
};

}  // namespace beaconsill
