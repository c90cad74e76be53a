// A deterministic simulation of the whole service: the pure state machines of owners and leader (`part`,
// `lead`) and the view of the state store (`store`), against stand-ins of workers, state store, cloud,
// users and network. Everything happens on one queue of events, all luck comes from the seed, and the rules
// are checked on books that no controller sees.
//
// Drawn schedules (meetings of two or three troubles, users of all kinds): `World(options).run()`. Scripted
// ones: nothing happens but what the test says.
//
//   TEST(Meetings, ACancellationMeetsTheEndOfTheLeader) {
//     World w(Options::scripted());                      // no drawn jobs, no drawn troubles, no lost
//     messages auto job = array_job("run-1", /*tasks=*/8); w.submit(2.0, job, /*controller=*/1,
//     /*run_s=*/60); // at 2 s, through controller 1; its tasks run 60 s w.trouble({.at_s = 10, .kind =
//     TroubleKind::kStateRefusesNode, .for_s = 14, .who = Who::leader()}); w.trouble({.at_s = 12, .kind =
//     TroubleKind::kMachineHangs, .for_s = 6,
//                .which = Which::of_job(job.id, 2)});    // two machines that run it
//     w.cancel(11.0, job.id, 2);                         // through controller 2
//     w.poll_all(11.1, job.id);                          // a question at each controller
//     w.submit(11.2, job, 0);                            // the submission repeated, through controller 0
//     w.probe("grown", [](World& x) -> std::optional<std::string> {   // after each event
//       if (x.books().machines.size() > 40) return "too many machines";
//       return std::nullopt;
//     });
//     auto r = w.run();
//     EXPECT_TRUE(r.broken.empty()) << r.first;
//     EXPECT_EQ(w.last_answer(job.id, Ask::kCancel)->status, 200);
//   }
//
// A schedule ends when, `kCalmAfter` seconds after the last trouble and request, all jobs are served: arrays
// and cancelled jobs are over with nothing of them running, services run in full. It breaks `forgotten` if
// that isn't so by `Options::end_s`. The rules are checked all the time (rules.h): `ran_twice`, `quota`,
// `wrong_place`, `ran_cancelled`, `forgotten`, `invented`, `not_done`, `went_back`; `starved`: a job waits
// for 90 s though it could run; `accepted_bad`: a job was accepted that can't run or lacks a field.
//
// Controllers run the real `part`, `lead`, `store::View` and `api`; what `controller` adds around them is
// rebuilt here without sockets (controller*.cpp, heartbeats.h, mirror.h). A test may call any method of a
// stand-in from `at`.
#pragma once

#include <array>
#include <memory>

#include "sim/controller.h"
#include "sim/troubles.h"
#include "sim/users.h"

namespace beaconsill::sim {

protocol::JobSpec array_job(const std::string& id, std::uint32_t tasks, const std::string& team = "blue");
protocol::JobSpec service_job(const std::string& id, std::uint32_t replicas,
                              const std::string& team = "blue");

class World {
 public:
  explicit World(Options o);

  // ---- Script. Times are in seconds since the beginning; the controllers start at 0, 0.05 and 0.1.
  void trouble(const Trouble& t) { troubles_.add(t); }
  // Each is one request of a user. Without `run_s` each task's run time is drawn from 0.5 to 6 s.
  void submit(double at_s, const protocol::JobSpec& spec, int controller,
              std::optional<double> run_s = std::nullopt);
  void cancel(double at_s, const JobId& id, int controller);
  void poll(double at_s, const JobId& id, int controller);
  void poll_all(double at_s, const JobId& id);
  // Anything else.
  void at(double at_s, std::function<void()> f);
  // Looked at after each event; text means that the named rule is broken, and tells why.
  using Predicate = std::function<std::optional<std::string>(World&)>;
  void probe(const std::string& name, Predicate p) { probes_.emplace_back(name, std::move(p)); }

  Outcome run();

  // ---- What there is
  double now() const { return queue_.now(); }
  EventQueue& queue() { return queue_; }
  Books& books() { return books_; }
  Network& network() { return network_; }
  StateService& state() { return state_; }
  Workers& workers() { return workers_; }
  Cloud& cloud() { return cloud_; }
  Users& users() { return users_; }
  Controller& controller(int n) { return *controllers_[static_cast<std::size_t>(n)]; }
  // The leader as the state store has it.
  std::optional<int> leader() const { return troubles_.leader(); }
  // Machines on which a task of the job runs at present.
  std::vector<MachineName> running_on(const JobId& id) const;
  const std::vector<EstimateResponse>& is_responsive() const { return users_.is_responsive(); }
  // The last answer to such a request.
  std::optional<EstimateResponse> last_answer(const JobId& id, EstimateRequest estimate_request) const;

 private:
  void script(double at_s, std::function<void()> f);
  void check_served();
  void check_probes();

  Options options_;
  Outcome outcome_;
  EventQueue queue_;
  Books books_;
  Network network_;
  DecisionDigest decisions_;
  Rules rules_;
  StateService state_;
  config::Settings settings_;
  shard::Partitioning parting_;
  Workers workers_;
  Cloud cloud_;
  Environment env_;
  std::array<std::unique_ptr<Controller>, kControllers> controllers_;
  Users users_;
  Troubles troubles_;
  std::vector<std::pair<std::string, Predicate>> probes_;
  double last_request_ = 0;
};

}  // namespace beaconsill::sim
