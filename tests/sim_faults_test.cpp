// Tests that each kind of fault has its documented effect on the simulation. A fault without effect would let
// every schedule pass.
#include <gtest/gtest.h>

#include "base/log.h"
#include "sim/world.h"

namespace beaconsill::sim {
namespace {

class FaultInjection : public testing::Test {
 protected:
  void SetUp() override { spdlog::set_level(spdlog::level::off); }
  // Evaluates the condition at the simulated time `at_s`. run_and_expect_success checks the result after the
  // run.
  void expect_at(World& world, double at_s, const std::string& description,
                 const std::function<bool()>& condition) {
    world.at(at_s, [this, description, condition] { observations_[description] = condition(); });
  }
  void run_and_expect_success(World& world) {
    auto outcome = world.run();
    EXPECT_TRUE(outcome.violations.empty()) << outcome.first_violation;
    for (const auto& [description, satisfied] : observations_) EXPECT_TRUE(satisfied) << description;
    EXPECT_FALSE(observations_.empty());
  }
  // Returns whether the state store has a record of the job.
  static bool is_stored(World& world, const JobId& id) {
    return world.state().find(state_store::job_key(id)) || world.state().find(state_store::terminal_key(id));
  }

  std::map<std::string, bool> observations_;
};

TEST_F(FaultInjection, RandomSchedulesIncludeEveryFaultKind) {
  std::set<std::string> seen_kinds;
  for (std::uint64_t seed = 1; seed <= 40 && seen_kinds.size() < kFaultKinds; ++seed) {
    Options options;
    options.seed = seed;
    options.operations = true;
    for (const auto& line : World(options).run().schedule)
      for (int kind = 0; kind < kFaultKinds; ++kind)
        if (line.find(std::string(" ") + to_string(static_cast<FaultKind>(kind)) + " for") !=
            std::string::npos)
          seen_kinds.insert(to_string(static_cast<FaultKind>(kind)));
  }
  EXPECT_EQ(seen_kinds.size(), static_cast<std::size_t>(kFaultKinds));
}

TEST_F(FaultInjection, LateWritesAreDelayedAndWritesWithLostResponsesAreNot) {
  auto job = array_job("run-1", 2);
  {
    World world(Options::scripted());
    world.inject({.at_s = 5, .kind = FaultKind::kLateWrites, .duration_s = 1});
    world.submit(5.1, job, 1);
    world.submit(20, job, 1);
    expect_at(world, 7, "the delayed write is not executed yet", [&] { return !is_stored(world, job.id); });
    expect_at(world, 18, "the delayed write is executed", [&] { return is_stored(world, job.id); });
    run_and_expect_success(world);
  }
  observations_.clear();
  World world(Options::scripted());
  world.inject({.at_s = 5, .kind = FaultKind::kLostResponses, .duration_s = 1});
  world.submit(5.1, job, 1);
  expect_at(world, 5.2, "the write whose response is lost is executed at once",
            [&] { return is_stored(world, job.id); });
  expect_at(world, 5.3, "the user has received no response yet", [&] { return world.responses().empty(); });
  expect_at(world, 8, "the controller has read the job back and responded",
            [&] { return world.responses().at(0).status == 200; });
  run_and_expect_success(world);
}

TEST_F(FaultInjection, StateStoreRefusesOneControllerOrIsPartitionedFromIt) {
  World world(Options::scripted());
  world.inject({.at_s = 10,
                .kind = FaultKind::kStateRefusesController,
                .duration_s = 5,
                .controllers = ControllerSelector::controller(1)});
  world.inject({.at_s = 20,
                .kind = FaultKind::kControllerCutFromState,
                .duration_s = 5,
                .controllers = ControllerSelector::controller(2)});
  world.inject({.at_s = 30,
                .kind = FaultKind::kControllerCutFromStateAndPeers,
                .duration_s = 5,
                .controllers = ControllerSelector::controller(0)});
  expect_at(world, 12, "the state store refuses only controller 1",
            [&] { return !world.state().serves(1) && world.state().serves(0) && world.state().serves(2); });
  expect_at(world, 12, "controller 1 is not partitioned from the state store",
            [&] { return !world.network().blocked_path_to_state(1); });
  expect_at(world, 22, "controller 2 is partitioned from the state store",
            [&] { return !world.state().serves(2) && world.state().serves(1); });
  expect_at(world, 22, "controller 2 reaches the other controllers",
            [&] { return !world.network().blocked_path_between(2, 0); });
  expect_at(world, 32, "controller 0 is partitioned from the state store and the other controllers",
            [&] { return !world.state().serves(0) && world.network().blocked_path_between(0, 1); });
  expect_at(world, 32, "controller 0 reaches its workers",
            [&] { return !world.network().blocked_path_to_worker(0, Zone("east")); });
  expect_at(world, 36, "controller 0 reaches the state store and the other controllers again",
            [&] { return world.state().serves(0) && !world.network().blocked_path_between(0, 1); });
  run_and_expect_success(world);
}

TEST_F(FaultInjection, ZoneCutIsolatesAZoneTogetherWithItsController) {
  World world(Options::scripted());
  auto job = service_job("run-1", 4);
  job.zone = Zone("west");
  world.submit(5, job, 1);
  world.inject({.at_s = 20, .kind = FaultKind::kZoneCut, .duration_s = 15, .zone = Zone("west")});
  std::vector<MachineName> before;
  world.at(19.9, [&] { before = world.running_on(job.id); });
  expect_at(world, 25, "the controller in the zone does not reach the state store",
            [&] { return !world.state().serves(1); });
  expect_at(world, 25, "the controller in the zone is not reachable for users",
            [&] { return world.network().blocked_path_to_user(1).has_value(); });
  expect_at(world, 25, "the controller in the zone reaches its workers",
            [&] { return !world.network().blocked_path_to_worker(1, Zone("west")); });
  expect_at(world, 25, "a controller in another zone does not reach these workers",
            [&] { return world.network().blocked_path_to_worker(0, Zone("west")).has_value(); });
  expect_at(world, 34, "the tasks still run after more than a lease",
            [&] { return !before.empty() && world.running_on(job.id) == before; });
  run_and_expect_success(world);
}

TEST_F(FaultInjection, ControllerIsPausedAtOnceOrBeforeASelectedCallback) {
  World world(Options::scripted());
  auto job = array_job("run-1", 2);
  world.inject({.at_s = 10,
                .kind = FaultKind::kControllerPause,
                .duration_s = 1.5,
                .controllers = ControllerSelector::controller(1)});
  world.poll(10.1, JobId("run-7"), 1);
  world.inject({.at_s = 20,
                .kind = FaultKind::kControllerPause,
                .duration_s = 3,
                .controllers = ControllerSelector::controller(1),
                .before_callback = CallbackKind::kUserRequest});
  world.submit(20.5, job, 1);
  world.poll_all(40, job.id);
  expect_at(world, 11.4, "the paused controller does not respond", [&] { return world.responses().empty(); });
  expect_at(world, 11.7, "the controller responds after the pause",
            [&] { return world.responses().size() == 1 && world.responses()[0].status == 404; });
  expect_at(world, 23.4, "the job is not stored during the pause", [&] { return !is_stored(world, job.id); });
  expect_at(world, 23.7, "the job is stored after the pause", [&] { return is_stored(world, job.id); });
  run_and_expect_success(world);
}

TEST_F(FaultInjection, MachinesLoseInboundOrOutboundMessagesOrHang) {
  World world(Options::scripted());
  MachineName inbound_cut("host-0"), outbound_cut("host-1"), hanging("host-2");
  auto token = [&](const MachineName& name) { return world.ledger().machine(name)->token; };
  auto heartbeats = [&](const MachineName& name) { return world.ledger().machine(name)->sequence; };
  world.inject({.at_s = 20,
                .kind = FaultKind::kMachineInboundCut,
                .duration_s = 3,
                .machines = MachineSelector::machine(inbound_cut)});
  world.inject({.at_s = 20,
                .kind = FaultKind::kMachineOutboundCut,
                .duration_s = 3,
                .machines = MachineSelector::machine(outbound_cut)});
  world.inject({.at_s = 20,
                .kind = FaultKind::kMachineHangs,
                .duration_s = 3,
                .machines = MachineSelector::machine(hanging)});
  std::uint64_t token_before = 0, heartbeats_before = 0, hanging_heartbeats_before = 0;
  double outbound_cut_lease = 0, inbound_cut_lease = 0;
  world.at(20.01, [&] {
    token_before = token(inbound_cut);
    heartbeats_before = heartbeats(inbound_cut);
    hanging_heartbeats_before = heartbeats(hanging);
    outbound_cut_lease = world.ledger().machine(outbound_cut)->lease_renewed_at;
    inbound_cut_lease = world.ledger().machine(inbound_cut)->lease_renewed_at;
  });
  expect_at(world, 22.9, "the machine without inbound messages sends heartbeats",
            [&] { return heartbeats(inbound_cut) > heartbeats_before; });
  expect_at(world, 22.9, "the machine without inbound messages receives no response", [&] {
    return token(inbound_cut) == token_before &&
           world.ledger().machine(inbound_cut)->lease_renewed_at <= inbound_cut_lease + 0.02;
  });
  expect_at(world, 22.9, "the machine without outbound messages does not renew its lease", [&] {
    return world.ledger().machine(outbound_cut)->lease_renewed_at <= outbound_cut_lease + 0.02;
  });
  expect_at(world, 22.9, "the hanging machine sends no heartbeats",
            [&] { return heartbeats(hanging) == hanging_heartbeats_before; });
  // The machine without inbound messages may have been deleted, since controllers cannot know that it will be
  // reachable again.
  auto has_new_lease = [&](const MachineName& name) {
    return world.ledger().machine(name) && world.ledger().machine(name)->lease_renewed_at > 23;
  };
  expect_at(world, 30, "the machine without outbound messages has renewed its lease",
            [&] { return has_new_lease(outbound_cut); });
  expect_at(world, 30, "the hanging machine has renewed its lease", [&] { return has_new_lease(hanging); });
  expect_at(world, 30, "the machine without inbound messages has renewed its lease or is deleted",
            [&] { return has_new_lease(inbound_cut) || !world.ledger().machine(inbound_cut); });
  run_and_expect_success(world);
}

TEST_F(FaultInjection, LateCommandsAreExecutedAfterADelay) {
  World world(Options::scripted());
  auto job = array_job("run-1", 2);
  world.inject({.at_s = 5, .kind = FaultKind::kLateCommands, .duration_s = 1.5});
  world.submit(5.1, job, 1, 3);
  expect_at(world, 7, "no task is started yet", [&] { return world.running_on(job.id).empty(); });
  run_and_expect_success(world);
  EXPECT_EQ(world.ledger().jobs.at(job.id).done.size(), 2u);
}

TEST_F(FaultInjection, HeartbeatCopiesAreDeliveredAfterALeaderChange) {
  World world(Options::scripted());
  world.submit(2, service_job("run-1", 4), 1);
  world.inject({.at_s = 10, .kind = FaultKind::kHeartbeatsForNextLeader, .duration_s = 5});
  world.inject({.at_s = 20,
                .kind = FaultKind::kControllerCrash,
                .duration_s = 3,
                .controllers = ControllerSelector::leader()});
  int leader = -1;
  world.at(19.9, [&] { leader = world.leader().value_or(-1); });
  expect_at(world, 16, "heartbeat copies are held after the fault",
            [&] { return world.workers().held_heartbeats() > 10; });
  expect_at(world, 19.9, "heartbeat copies are held until the leader crashes",
            [&] { return world.workers().held_heartbeats() > 10; });
  expect_at(world, 30, "all heartbeat copies are delivered after the leader change",
            [&] { return world.workers().held_heartbeats() == 0; });
  expect_at(world, 30, "another controller is the leader",
            [&] { return world.leader() && world.leader() != leader; });
  run_and_expect_success(world);
}

TEST_F(FaultInjection, RepeatedFailoverChangesTheLeaderTenTimes) {
  World world(Options::scripted());
  world.submit(2, service_job("run-1", 4), 1);
  world.inject({.at_s = 10, .kind = FaultKind::kRepeatedFailover, .duration_s = 119, .period_s = 12});
  auto term = [&] {
    return state_store::parse_role(world.state().find(state_store::leader_role_key())->value).term.value();
  };
  std::uint64_t initial_term = 0;
  world.at(9.9, [&] { initial_term = term(); });
  expect_at(world, 135, "the leader term has increased by at least ten",
            [&] { return term() >= initial_term + 10; });
  run_and_expect_success(world);
}

TEST_F(FaultInjection, UsersCancelQueryInBurstsAndSendInvalidRequests) {
  World world(Options::scripted());
  auto long_running_job = array_job("run-1", 4);
  auto completed_job = array_job("run-2", 2);
  world.inject({.at_s = 1, .kind = FaultKind::kQueryBursts, .duration_s = 30});
  world.inject({.at_s = 1, .kind = FaultKind::kCancelAtCompletion, .duration_s = 12});
  world.submit(2, long_running_job, 1, 60);
  world.submit(2, completed_job, 2, 3);
  world.inject({.at_s = 15, .kind = FaultKind::kCancelRunning, .duration_s = 6, .count = 3});
  world.inject({.at_s = 40, .kind = FaultKind::kInvalidRequests, .duration_s = 20});
  auto queries = [&](double from, double to) {
    std::set<int> controllers;
    for (const auto& response : world.responses())
      if (response.request == UserRequest::kStatus && response.sent_s >= from && response.sent_s < to)
        controllers.insert(response.controller);
    return controllers.size();
  };
  expect_at(world, 3, "all controllers are queried after the acceptance",
            [&] { return queries(2, 2.2) == kControllers; });
  expect_at(world, 12, "the job is cancelled at its completion",
            [&] { return world.ledger().jobs.at(completed_job.id).cancel_requested; });
  expect_at(world, 17, "the running job is cancelled",
            [&] { return world.ledger().jobs.at(long_running_job.id).cancelled.has_value(); });
  expect_at(world, 17, "a machine hangs", [&] {
    return std::any_of(world.ledger().machines.begin(), world.ledger().machines.end(),
                       [&](const auto& entry) { return entry.second.hangs_until > world.now(); });
  });
  run_and_expect_success(world);
  std::map<int, int> statuses;
  for (const auto& response : world.responses())
    if (response.sent_s > 40) ++statuses[response.status];
  for (int status : {200, 400, 404, 422}) EXPECT_GT(statuses[status], 0) << "HTTP status " << status;
}

TEST_F(FaultInjection, SingleTaskJobsAreSubmittedAndQuotasAreFilled) {
  World world(Options::scripted());
  world.inject({.at_s = 5, .kind = FaultKind::kSingleTaskJobs, .duration_s = 10});
  world.inject({.at_s = 40, .kind = FaultKind::kQuotasFilled});
  auto cpus_in_use = [&](const Team& team) {
    double cpus = 0;
    for (const auto& [id, job] : world.ledger().jobs)
      if (job.spec->team == team)
        world.ledger().for_each_task(
            id, [&](const auto&, const auto&, const Task& task) { cpus += task.on_machine(); });
    return cpus;
  };
  double max_cpus_in_use = 0;
  for (double at_s = 40; at_s < 60; at_s += 0.5)
    world.at(at_s, [&] { max_cpus_in_use = std::max(max_cpus_in_use, cpus_in_use(teams()[0])); });
  std::size_t cancelled = 0;
  expect_at(world, 30, "40 jobs are submitted in 10 s and some of them are cancelled", [&] {
    for (const auto& [id, job] : world.ledger().jobs) cancelled += job.cancelled.has_value();
    return world.ledger().jobs.size() == 40 && cancelled > 0;
  });
  run_and_expect_success(world);
  EXPECT_EQ(max_cpus_in_use, kTeamCpus);
}

TEST_F(FaultInjection, FastBootReplacesMachinesWithinTwoSeconds) {
  World world(Options::scripted());
  world.inject({.at_s = 10, .kind = FaultKind::kFastBoot, .duration_s = 20});
  world.inject({.at_s = 12, .kind = FaultKind::kMachineCrash, .machines = MachineSelector::random(3)});
  auto count_machines = [&] {
    return std::count_if(world.ledger().machines.begin(), world.ledger().machines.end(),
                         [](const auto& entry) { return !entry.second.terminated; });
  };
  expect_at(world, 12.1, "the crashed machines are gone", [&] { return count_machines() < 14; });
  expect_at(world, 14.1, "the crashed machines are replaced", [&] { return count_machines() == 14; });
  run_and_expect_success(world);
}

TEST_F(FaultInjection, MessagesBetweenControllersAreDelayedDuplicatedOrLost) {
  EventQueue queue(1, false);
  Network network(queue);
  for (int controller = 0; controller < kControllers; ++controller) network.start(controller);
  std::vector<double> delivery_times;
  auto send = [&] { network.send_to_peer(0, 1, [&] { delivery_times.push_back(queue.now()); }); };
  auto drain = [&] {
    while (!queue.empty()) queue.step();
  };
  network.cut_peers(1, {5, true});
  send();
  drain();
  ASSERT_EQ(delivery_times.size(), 1u);
  EXPECT_GE(delivery_times[0], 5);
  network.cut_peers(1, {queue.now() + 5, false});
  send();
  drain();
  EXPECT_EQ(delivery_times.size(), 1u);
  queue.at(queue.now() + 10, [] {});
  drain();
  network.lose_peer_messages({queue.now() + 1, 1});
  send();
  drain();
  EXPECT_EQ(delivery_times.size(), 1u);
  network.lose_peer_messages({});
  network.delay_peer_messages({queue.now() + 1, 1});
  double sent = queue.now();
  send();
  drain();
  ASSERT_EQ(delivery_times.size(), 3u);  // the last message was delivered twice, both times late
  EXPECT_GT(delivery_times[1], sent + 0.4);
}

}  // namespace
}  // namespace beaconsill::sim
