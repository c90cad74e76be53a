// Fixtures for tests that run real controllers on loopback against this repository's fakes.
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

// Settings of controller `n<number>`, which reaches the state store by its own endpoint of the fake.
// Addresses to listen on, peers, zones and teams are left to the caller.
inline config::Settings controller_settings(const fakes::StateStore& state, const fakes::Cloud& cloud,
                                            std::size_t number) {
  config::Settings settings;
  settings.controller = ControllerName("n" + std::to_string(number));
  settings.cloud_address = fakes::text(cloud.server->local());
  settings.state_store_address = fakes::text(state.doors[number]->local());
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

// Whether this is a transaction that sets a key which begins with `prefix`.
inline bool is_txn_that_sets(const fakes::Request& request, std::string_view prefix) {
  if (request.path != "/txn") return false;
  auto txn = fakes::Json::parse(request.body);
  return std::any_of(txn["writes"].begin(), txn["writes"].end(),
                     [&](const fakes::Json& write) { return write.value("set", "").starts_with(prefix); });
}

struct HttpAnswer {
  int status = 0;  // 0: there was none
  std::optional<int> retry_after_s;
  fakes::Json body;
};

// An event loop with the fakes of state store and cloud. What derives from it stops its own components in its
// destructor, and calls io.poll(): handlers that are queued aren't cancelled any more, and have to run while
// what they use is still there.
struct EventLoopFixture {
  EventLoopFixture() : state(io), cloud(io) { spdlog::set_level(spdlog::level::err); }
  ~EventLoopFixture() {
    for (auto& door : state.doors) door->stop();
    cloud.server->stop();
    io.poll();
  }
  // Whether `done` has come true within the limit.
  bool run_until(const std::function<bool()>& done, std::chrono::seconds limit = std::chrono::seconds(30)) {
    return fakes::run_until(io, done, limit);
  }
  void run_for(std::chrono::milliseconds duration) {
    auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) io.run_one_for(std::chrono::milliseconds(20));
  }
  HttpAnswer request(const net::Tcp::endpoint& to, const char* method, const std::string& path,
                     const std::string& body = "") {
    auto client = std::make_shared<net::HttpClient>(io, to, 1);
    std::optional<HttpAnswer> answer;
    client->request(method, path, body, std::chrono::seconds(5), [&](net::Result result) {
      answer = HttpAnswer{};
      if (result)
        answer = {result->status, result->retry_after_s, fakes::Json::parse(result->body, nullptr, false)};
    });
    EXPECT_TRUE(run_until([&] { return answer.has_value(); })) << path;
    client->stop();
    return answer.value_or(HttpAnswer{});
  }

  asio::io_context io;
  SystemClock clock;
  fakes::StateStore state;
  fakes::Cloud cloud;
};

}  // namespace beaconsill
