// A deterministic simulation of the whole service: the state machines of the shards (`shard`) and of the
// scheduler (`scheduler`) and the view of the state store (`state_store`) run with fakes of workers, state
// store, cloud, users and network. All events run on one event queue, all random numbers come from the seed,
// and the invariants are checked against a ledger that no controller can read.
//
// Random schedules (groups of concurrent faults, users of all kinds): `World(options).run()`. In scripted
// schedules only the requests and faults that the test specifies occur:
//
//   TEST(Failover, CancellationSucceedsWhileStateStoreRefusesTheLeader) {
//     World world(Options::scripted());
//     auto job = array_job("run-1", /*tasks=*/8);
//     world.submit(/*at_s=*/2, job, /*controller=*/1, /*run_s=*/60);
//     world.inject({.at_s = 10,
//                   .kind = FaultKind::kStateRefusesController,
//                   .duration_s = 14,
//                   .controllers = ControllerSelector::leader()});
//     world.cancel(11, job.id, /*controller=*/2);
//     world.poll_all(11.1, job.id);
//     world.probe("machine_count", [](World& probed) -> std::optional<std::string> {  // after each event
//       if (probed.ledger().machines.size() > 40) return "too many machines";
//       return std::nullopt;
//     });
//     auto outcome = world.run();
//     EXPECT_TRUE(outcome.violations.empty()) << outcome.first_violation;
//     EXPECT_EQ(world.last_response(job.id, UserRequest::kCancel)->status, 200);
//   }
//
// A schedule ends when all jobs are served, at the earliest `kRecoveryGracePeriod` seconds after the last
// fault and the last scripted action: array jobs and cancelled jobs have ended and none of their tasks runs,
// and all tasks of service jobs run. The invariants are checked throughout the schedule (invariants.h). A
// violation is reported under one of these names:
// - `ran_twice`: a task starts while it runs on another machine.
// - `quota`: the running tasks of a team use more CPUs than its limit.
// - `wrong_place`: a task starts in a zone that the job's zone constraints exclude.
// - `too_early`: a task starts before all dependencies of its job have completed.
// - `ran_cancelled`: a task runs later than `kCancelLimit` after the confirmed cancellation of its job.
// - `orphaned`: a job is reported as queued or running later than `kCancelLimit` after the confirmed
//   cancellation of one of its dependencies.
// - `forgotten`: an accepted job is reported as unknown, its repeated submission or a submission that depends
//   on it is rejected, all requests about it fail for 75 s, or a job is not served by `Options::end_s`.
// - `invented`: a job that was never submitted is reported to exist, or has a terminal record.
// - `not_done`: a job is recorded or reported as done although not all of its tasks have completed.
// - `went_back`: a terminal record is deleted, a job that was reported as done or cancelled is reported
//   differently later, or a job is reported as cancelled although no user requested it.
// - `starved`: a job waits for 90 s although it could run.
// - `accepted_bad`: a job was accepted that cannot run or lacks a field.
//
// Controllers run the production code of `shard`, `scheduler`, `state_store::StateView` and `api`. The parts
// of `controller` around them are reimplemented here without sockets (controller*.cpp, heartbeats.h,
// watch_cache.h). A test may call any method of a fake from `at`.
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

  // ---- Scripted actions. Times are in seconds since the beginning. The controllers start at 0, 0.05 and
  // 0.1 s.
  void inject(const Fault& fault) { faults_.schedule(fault); }
  // Each of these schedules one user request. Without `run_s`, each task's run time is drawn from 0.5 to 6 s.
  void submit(double at_s, const protocol::JobSpec& spec, int controller,
              std::optional<double> run_s = std::nullopt);
  void cancel(double at_s, const JobId& id, int controller);
  void poll(double at_s, const JobId& id, int controller);
  void poll_all(double at_s, const JobId& id);
  // Schedules any other action.
  void at(double at_s, std::function<void()> callback);
  // Evaluated after each event. A returned text means that the named invariant is violated, and states the
  // reason.
  using Predicate = std::function<std::optional<std::string>(World&)>;
  void probe(const std::string& name, Predicate predicate) {
    probes_.emplace_back(name, std::move(predicate));
  }

  Outcome run();

  // ---- Access to the components and their state
  double now() const { return queue_.now(); }
  EventQueue& queue() { return queue_; }
  Ledger& ledger() { return ledger_; }
  Network& network() { return network_; }
  StateStore& state() { return state_; }
  Workers& workers() { return workers_; }
  Cloud& cloud() { return cloud_; }
  Users& users() { return users_; }
  Controller& controller(int number) { return *controllers_[static_cast<std::size_t>(number)]; }
  // The scheduler's leader as recorded in the state store.
  std::optional<int> leader() const { return faults_.leader(); }
  // Machines on which a task of the job is currently running.
  std::vector<MachineName> running_on(const JobId& id) const;
  const std::vector<UserResponse>& responses() const { return users_.responses(); }
  // The last response to a request of this kind about the job, if there is one.
  std::optional<UserResponse> last_response(const JobId& id, UserRequest request) const;

 private:
  void schedule_scripted_action(double at_s, std::function<void()> callback);
  void check_all_served();
  void evaluate_probes();

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
  double last_scripted_at_s_ = 0;
};

}  // namespace beaconsill::sim
