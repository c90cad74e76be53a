// Fixture with two real controllers on the loopback interface, with a fake state store, cloud and workers.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "controller/controller.h"
#include "controller_fixture.h"

namespace beaconsill {

using fakes::Json;

struct TwoControllersSettings {
  double lease_s = 5;
  double cancel_s = 20;
  double value_kb = 8;
};

// Two controllers in two zones, each with a worker.
struct TwoControllers : EventLoopFixture {
  explicit TwoControllers(TwoControllersSettings fixture_settings = {}) : settings(fixture_settings) {
    for (int i = 0; i < 4; ++i) {
      reserved_ports.push_back(std::make_unique<fakes::ReservedPort>(io));
      ports.push_back(reserved_ports.back()->endpoint());
    }
    controllers.resize(2);
    for (std::size_t i = 0; i < 2; ++i) start(i);
    for (std::size_t i = 0; i < 2; ++i)
      workers.push_back(std::make_unique<fakes::Worker>(io, "host-" + std::to_string(i), i ? "west" : "east",
                                                        std::vector{ports[0], ports[2]},
                                                        std::vector<std::string>{"n0", "n1"}));
  }
  ~TwoControllers() {
    for (auto& worker : workers) worker->stop();
    for (auto& controller : controllers)
      if (controller) controller->stop();
    io.poll();
  }
  void start(std::size_t i) {
    auto config = controller_settings(state, cloud, i);
    config.zone = Zone(i ? "west" : "east");
    config.listen_address = fakes::to_string(ports[2 * i]);
    config.peer_listen_address = fakes::to_string(ports[2 * i + 1]);
    config.peers = {{ControllerName("n" + std::to_string(1 - i)), Zone(i ? "east" : "west"),
                     fakes::to_string(ports[2 * (1 - i) + 1])}};
    config.zones = {Zone("east"), Zone("west")};
    config.teams = {{Team("blue"), 0, 0, 0, 0}};
    config.lease_s = settings.lease_s;
    config.cancel_s = settings.cancel_s;
    config.value_kb = settings.value_kb;
    auto policy = config::parse_policy("home_delay = 500ms", "test", config);
    controllers[i] = std::make_unique<controller::Controller>(io, clock, config, policy);
    controllers[i]->start();
  }
  void run_until(const std::function<bool()>& done, const char* what) {
    ASSERT_TRUE(EventLoopFixture::run_until(done, std::chrono::seconds(60))) << what;
  }
  HttpResponse call(std::size_t controller, const char* method, const std::string& path,
                    const std::string& body = "") {
    return request(ports[2 * controller], method, path, body);
  }
  void wait_until_healthy() {
    for (std::size_t i = 0; i < 2; ++i)
      for (int n = 0; n < 500 && call(i, "GET", "/up").status != 200; ++n)
        io.run_for(std::chrono::milliseconds(10));
  }
  // Waits until it is recorded that all controllers support pipelines (jobs with dependencies). Submissions
  // of such jobs are refused before that.
  void wait_until_pipelines_accepted() {
    auto versions_recorded = [this] {
      auto it = state.keys.find("beaconsill/versions");
      return it != state.keys.end() &&
             it->second.first.at("shown") ==
                 Json{{"n0", state_store::kFormatVersion}, {"n1", state_store::kFormatVersion}};
    };
    run_until(versions_recorded, "it is recorded that all controllers support pipelines");
    io.run_for(std::chrono::milliseconds(600));
  }
  // Stops the first controller and lets its lease expire.
  void end_first_controller() {
    run_until([&] { return state.lease_of("beaconsill/alive/n0").has_value(); }, "n0 is alive");
    controllers[0]->stop();
    controllers[0].reset();
    state.expire(*state.lease_of("beaconsill/alive/n0"));
  }
  static std::string job(const std::string& id, const char* kind, int tasks) {
    return job_json(id, kind, tasks, "high");
  }
  // Cancels a job as a user does, and repeats the request while the response is 503. Expects each 503 within
  // a second and with a Retry-After header.
  HttpResponse cancel(std::size_t controller, const std::string& id) {
    HttpResponse response;
    run_until(
        [&] {
          auto sent_at = clock.now();
          response = call(controller, "POST", "/v1/jobs/" + id + "/withdraw");
          if (response.status != 503) return true;
          EXPECT_LT(clock.now() - sent_at, std::chrono::seconds(1));
          EXPECT_EQ(response.retry_after_s, 1);
          io.run_for(std::chrono::seconds(1));  // the delay that Retry-After requires
          return false;
        },
        "the cancellation is confirmed");
    return response;
  }
  // Returns the job's state as users see it, or an empty string if the status is not 200.
  std::string job_state(std::size_t controller, const std::string& id) {
    auto response = call(controller, "GET", "/v1/jobs/" + id);
    return response.status == 200 ? response.body["bearing"].get<std::string>() : "";
  }
  // The number of tasks started so far on both workers.
  int started_tasks() const { return workers[0]->started + workers[1]->started; }
  // The number of tasks running on both workers whose ids begin with `task_prefix`.
  std::size_t running_tasks(const std::string& task_prefix = "") const {
    std::size_t count = 0;
    for (const auto& worker : workers)
      for (const auto& task : worker->tasks)
        count += task.state == "running" && task.id.starts_with(task_prefix);
    return count;
  }

  TwoControllersSettings settings;
  std::vector<std::unique_ptr<fakes::ReservedPort>> reserved_ports;
  std::vector<net::Tcp::endpoint> ports;  // two per controller: first for users and workers, then for peers
  std::vector<std::unique_ptr<controller::Controller>> controllers;
  std::vector<std::unique_ptr<fakes::Worker>> workers;
};

}  // namespace beaconsill
