// A deterministic simulation of the whole service: the state machines of the shards (`shard`) and of the
// scheduler (`scheduler`) and the view of the state store (`state_store`), against fakes of workers, state
// store, cloud, users and network. Everything happens on one event queue, all randomness comes from the seed,
// and the invariants are checked against a ledger that no controller sees.
//
// Random schedules (groups of concurrent faults, users of all kinds): `World(options).run()`. Scripted ones:
// nothing happens but what the test says.
//
//   TEST(Failover, CancellationWhileTheLeaderIsCutOff) {
//     World world(Options::scripted());
//     auto job = array_job("run-1", /*tasks=*/8);
//     world.submit(/*at_s=*/2, job, /*controller=*/1, /*run_s=*/60);
//     world.inject({.at_s = 10,
//                   .kind = FaultKind::kStateRefusesController,
//                   .duration_s = 14,
//                   .controllers = ControllerSelector::leader()});
//     world.cancel(11, job.id, /*controller=*/2);
//     world.poll_all(11.1, job.id);
//     world.probe("grown", [](World& probed) -> std::optional<std::string> {  // after each event
//       if (probed.ledger().machines.size() > 40) return "too many machines";
//       return std::nullopt;
//     });
//     auto outcome = world.run();
//     EXPECT_TRUE(outcome.violations.empty()) << outcome.first_violation;
//     EXPECT_EQ(world.last_response(job.id, UserRequest::kCancel)->status, 200);
//   }
//
// A schedule ends when, `kRecoveryGracePeriod` seconds after the last fault and request, all jobs are served: arrays
// and cancelled jobs are over with nothing of them running, services run in full. It violates `forgotten` if
// that isn't so by `Options::end_s`. The invariants are checked all the time (invariants.h): `ran_twice`,
// `quota`, `wrong_place`, `ran_cancelled`, `forgotten`, `invented`, `not_done`, `went_back`; `starved`: a job
// waits for 90 s though it could run; `accepted_bad`: a job was accepted that can't run or lacks a field.
//
// Controllers run the real `shard`, `scheduler`, `state_store::StateView` and `api`; what `controller` adds
// around them is rebuilt here without sockets (controller*.cpp, heartbeats.h, watch_cache.h). A test may call
// any method of a fake from `at`.
#pragma once

#include <array>
#include <memory>

#include "sim/controller.h"
#include "sim/fault_injector.h"
#include "sim/users.h"

namespace beaconsill::sim {

protocol::JobSpec array_job(const std::string& id, std::uint32_t tasks, const std::string& team = "blue");
protocol::JobSpec service_job(const std::string& id, std::uint32_t replicas,
                              const std::string& team = "blue");

class World {
 public:
  explicit World(Options options);

  // ---- Script. Times are in seconds since the beginning; the controllers start at 0, 0.05 and 0.1.
  void inject(const Fault& fault) { faults_.schedule(fault); }
  // Each is one request of a user. Without `run_s` each task's run time is drawn from 0.5 to 6 s.
  void submit(double at_s, const protocol::JobSpec& spec, int controller,
              std::optional<double> run_s = std::nullopt);
  void cancel(double at_s, const JobId& id, int controller);
  void poll(double at_s, const JobId& id, int controller);
  void poll_all(double at_s, const JobId& id);
  // Anything else.
  void at(double at_s, std::function<void()> callback);
  // Evaluated after each event; text means that the named invariant is violated, and tells why.
  using Predicate = std::function<std::optional<std::string>(World&)>;
  void probe(const std::string& name, Predicate predicate) {
    probes_.emplace_back(name, std::move(predicate));
  }

  Outcome run();

  // ---- What there is
  double now() const { return queue_.now(); }
  EventQueue& queue() { return queue_; }
  Ledger& ledger() { return ledger_; }
  Network& network() { return network_; }
  StateStore& state() { return state_; }
  Workers& workers() { return workers_; }
  Cloud& cloud() { return cloud_; }
  Users& users() { return users_; }
  Controller& controller(int number) { return *controllers_[static_cast<std::size_t>(number)]; }
  // The leader as the state store has it.
  std::optional<int> leader() const { return faults_.leader(); }
  // Machines on which a task of the job runs at present.
  std::vector<MachineName> running_on(const JobId& id) const;
  const std::vector<UserResponse>& responses() const { return users_.responses(); }
  // The last answer to such a request.
  std::optional<UserResponse> last_response(const JobId& id, UserRequest request) const;

 private:
  void script(double at_s, std::function<void()> callback);
  void check_served();
  void check_probes();

  Options options_;
  Outcome outcome_;
  EventQueue queue_;
  Ledger ledger_;
  Network network_;
  DecisionDigest decisions_;
  InvariantChecker invariants_;
  StateStore state_;
  config::Settings settings_;
  shard::Partitioning partitioning_;
  Workers workers_;
  Cloud cloud_;
  Environment env_;
  std::array<std::unique_ptr<Controller>, kControllers> controllers_;
  Users users_;
  RandomUsers random_users_;
  FaultInjector faults_;
  std::vector<std::pair<std::string, Predicate>> probes_;
  double last_request_ = 0;
};

}  // namespace beaconsill::sim
