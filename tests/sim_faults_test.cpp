// Each kind of fault of the simulation does what it says: one that does nothing would let every schedule
// pass.
#include <gtest/gtest.h>

#include "base/log.h"
#include "sim/world.h"

namespace beaconsill::sim {
namespace {

class FaultInjection : public testing::Test {
 protected:
  void SetUp() override { spdlog::set_level(spdlog::level::off); }
  // What holds at a time, to be looked at after the run.
  void note(World& world, double at_s, const std::string& what, const std::function<bool()>& holds) {
    world.at(at_s, [this, what, holds] { seen_[what] = holds(); });
  }
  void expect_clean(World& world) {
    auto outcome = world.run();
    EXPECT_TRUE(outcome.violations.empty()) << outcome.first_violation;
    for (const auto& [what, held] : seen_) EXPECT_TRUE(held) << what;
    EXPECT_FALSE(seen_.empty());
  }
  static bool stored(World& world, const JobId& id) {
    return world.state().find(state_store::job_key(id)) || world.state().find(state_store::terminal_key(id));
  }

  std::map<std::string, bool> seen_;
};

TEST_F(FaultInjection, EveryKindIsDrawn) {
  std::set<std::string> drawn;
  for (std::uint64_t seed = 1; seed <= 40 && drawn.size() < kFaultKinds; ++seed) {
    Options options;
    options.seed = seed;
    options.operations = true;
    for (const auto& line : World(options).run().schedule)
      for (int kind = 0; kind < kFaultKinds; ++kind)
        if (line.find(std::string(" ") + to_string(static_cast<FaultKind>(kind)) + " for") !=
            std::string::npos)
          drawn.insert(to_string(static_cast<FaultKind>(kind)));
  }
  EXPECT_EQ(drawn.size(), static_cast<std::size_t>(kFaultKinds));
}

TEST_F(FaultInjection, WritesComeLateOrAtOnceWithoutAnAnswer) {
  auto job = array_job("run-1", 2);
  {
    World world(Options::scripted());
    world.inject({.at_s = 5, .kind = FaultKind::kLateWrites, .duration_s = 1});
    world.submit(5.1, job, 1);
    world.submit(20, job, 1);
    note(world, 7, "not yet", [&] { return !stored(world, job.id); });
    note(world, 18, "late", [&] { return stored(world, job.id); });
    expect_clean(world);
  }
  seen_.clear();
  World world(Options::scripted());
  world.inject({.at_s = 5, .kind = FaultKind::kLostResponses, .duration_s = 1});
  world.submit(5.1, job, 1);
  note(world, 5.2, "at once", [&] { return stored(world, job.id); });
  note(world, 5.3, "unanswered", [&] { return world.responses().empty(); });
  note(world, 8, "read back", [&] { return world.responses().at(0).status == 200; });
  expect_clean(world);
}

TEST_F(FaultInjection, TheStateStoreRefusesAControllerOrIsCutFromIt) {
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
  note(world, 12, "refused",
       [&] { return !world.state().serves(1) && world.state().serves(0) && world.state().serves(2); });
  note(world, 12, "not cut", [&] { return !world.network().blocked_path_to_state(1); });
  note(world, 22, "cut", [&] { return !world.state().serves(2) && world.state().serves(1); });
  note(world, 22, "reaches the others", [&] { return !world.network().blocked_path_between(2, 0); });
  note(world, 32, "cut off",
       [&] { return !world.state().serves(0) && world.network().blocked_path_between(0, 1); });
  note(world, 32, "not from its workers",
       [&] { return !world.network().blocked_path_to_worker(0, Zone("east")); });
  note(world, 36, "over",
       [&] { return world.state().serves(0) && !world.network().blocked_path_between(0, 1); });
  expect_clean(world);
}

TEST_F(FaultInjection, AZoneIsCutOffWithItsController) {
  World world(Options::scripted());
  auto job = service_job("run-1", 4);
  job.zone = Zone("west");
  world.submit(5, job, 1);
  world.inject({.at_s = 20, .kind = FaultKind::kZoneCut, .duration_s = 15, .zone = Zone("west")});
  std::vector<MachineName> before;
  world.at(19.9, [&] { before = world.running_on(job.id); });
  note(world, 25, "without state service", [&] { return !world.state().serves(1); });
  note(world, 25, "without users", [&] { return world.network().blocked_path_to_user(1).has_value(); });
  note(world, 25, "with its workers",
       [&] { return !world.network().blocked_path_to_worker(1, Zone("west")); });
  note(world, 25, "others don't reach them",
       [&] { return world.network().blocked_path_to_worker(0, Zone("west")).has_value(); });
  note(world, 34, "runs on beyond a lease",
       [&] { return !before.empty() && world.running_on(job.id) == before; });
  expect_clean(world);
}

TEST_F(FaultInjection, AControllerIsPausedAtOnceOrBeforeACallback) {
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
  note(world, 11.4, "no answer", [&] { return world.responses().empty(); });
  note(world, 11.7, "answered",
       [&] { return world.responses().size() == 1 && world.responses()[0].status == 404; });
  note(world, 23.4, "not stored", [&] { return !stored(world, job.id); });
  note(world, 23.7, "stored", [&] { return stored(world, job.id); });
  expect_clean(world);
}

TEST_F(FaultInjection, MachinesAreCutOneWayOrHang) {
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
  std::uint64_t token_before = 0, heartbeats_before = 0, hung_heartbeats = 0;
  double outbound_cut_lease = 0, inbound_cut_lease = 0;
  world.at(20.01, [&] {
    token_before = token(inbound_cut);
    heartbeats_before = heartbeats(inbound_cut);
    hung_heartbeats = heartbeats(hanging);
    outbound_cut_lease = world.ledger().machine(outbound_cut)->lease_from;
    inbound_cut_lease = world.ledger().machine(inbound_cut)->lease_from;
  });
  note(world, 22.9, "the one without inbound messages sends heartbeats",
       [&] { return heartbeats(inbound_cut) > heartbeats_before; });
  note(world, 22.9, "and gets no answer", [&] {
    return token(inbound_cut) == token_before &&
           world.ledger().machine(inbound_cut)->lease_from <= inbound_cut_lease + 0.02;
  });
  note(world, 22.9, "the one without outbound messages renews no lease",
       [&] { return world.ledger().machine(outbound_cut)->lease_from <= outbound_cut_lease + 0.02; });
  note(world, 22.9, "the hanging one does nothing", [&] { return heartbeats(hanging) == hung_heartbeats; });
  // The one without inbound messages may have been deleted: nobody knows that it would be reachable again.
  auto back = [&](const MachineName& name) {
    return world.ledger().machine(name) && world.ledger().machine(name)->lease_from > 23;
  };
  note(world, 30, "the one without outbound messages is back", [&] { return back(outbound_cut); });
  note(world, 30, "the hanging one is back", [&] { return back(hanging); });
  note(world, 30, "the one without inbound messages is back or deleted",
       [&] { return back(inbound_cut) || !world.ledger().machine(inbound_cut); });
  expect_clean(world);
}

TEST_F(FaultInjection, CommandsAreHeldUpAndCarriedOutLate) {
  World world(Options::scripted());
  auto job = array_job("run-1", 2);
  world.inject({.at_s = 5, .kind = FaultKind::kLateCommands, .duration_s = 1.5});
  world.submit(5.1, job, 1, 3);
  note(world, 7, "not started", [&] { return world.running_on(job.id).empty(); });
  expect_clean(world);
  EXPECT_EQ(world.ledger().jobs.at(job.id).done.size(), 2u);
}

TEST_F(FaultInjection, HeartbeatsAreHeldForTheNextLeader) {
  World world(Options::scripted());
  world.submit(2, service_job("run-1", 4), 1);
  world.inject({.at_s = 10, .kind = FaultKind::kHeartbeatsForNextLeader, .duration_s = 5});
  world.inject({.at_s = 20,
                .kind = FaultKind::kControllerCrash,
                .duration_s = 3,
                .controllers = ControllerSelector::leader()});
  int leader = -1;
  world.at(19.9, [&] { leader = world.leader().value_or(-1); });
  note(world, 16, "kept", [&] { return world.workers().held_heartbeats() > 10; });
  note(world, 19.9, "kept still", [&] { return world.workers().held_heartbeats() > 10; });
  note(world, 30, "delivered", [&] { return world.workers().held_heartbeats() == 0; });
  note(world, 30, "another leads", [&] { return world.leader() && world.leader() != leader; });
  expect_clean(world);
}

TEST_F(FaultInjection, LeadersFailOverRepeatedly) {
  World world(Options::scripted());
  world.submit(2, service_job("run-1", 4), 1);
  world.inject({.at_s = 10, .kind = FaultKind::kRepeatedFailover, .duration_s = 119, .period_s = 12});
  auto term = [&] {
    return state_store::parse_role(world.state().find(state_store::leader_role_key())->value).term.value();
  };
  std::uint64_t first = 0;
  world.at(9.9, [&] { first = term(); });
  note(world, 135, "ten times", [&] { return term() >= first + 10; });
  expect_clean(world);
}

TEST_F(FaultInjection, UsersCancelQueryInBurstsAndSendInvalidRequests) {
  World world(Options::scripted());
  auto cut_short = array_job("run-1", 4);
  auto ended = array_job("run-2", 2);
  world.inject({.at_s = 1, .kind = FaultKind::kQueryBursts, .duration_s = 30});
  world.inject({.at_s = 1, .kind = FaultKind::kCancelAtCompletion, .duration_s = 12});
  world.submit(2, cut_short, 1, 60);
  world.submit(2, ended, 2, 3);
  world.inject({.at_s = 15, .kind = FaultKind::kCancelRunning, .duration_s = 6, .count = 3});
  world.inject({.at_s = 40, .kind = FaultKind::kInvalidRequests, .duration_s = 20});
  auto queries = [&](double from, double to) {
    std::set<int> controllers;
    for (const auto& response : world.responses())
      if (response.request == UserRequest::kStatus && response.sent_s >= from && response.sent_s < to)
        controllers.insert(response.controller);
    return controllers.size();
  };
  note(world, 3, "queries after the acceptance", [&] { return queries(2, 2.2) == kControllers; });
  note(world, 12, "cancelled at its end", [&] { return world.ledger().jobs.at(ended.id).cancel_requested; });
  note(world, 17, "cancelled", [&] { return world.ledger().jobs.at(cut_short.id).cancelled.has_value(); });
  note(world, 17, "its machines hang", [&] {
    return std::any_of(world.ledger().machines.begin(), world.ledger().machines.end(),
                       [&](const auto& entry) { return entry.second.hangs_until > world.now(); });
  });
  expect_clean(world);
  std::map<int, int> statuses;
  for (const auto& response : world.responses())
    if (response.sent_s > 40) ++statuses[response.status];
  for (int status : {200, 400, 404, 422}) EXPECT_GT(statuses[status], 0) << status;
}

TEST_F(FaultInjection, SingleTaskJobsAndFilledQuotas) {
  World world(Options::scripted());
  world.inject({.at_s = 5, .kind = FaultKind::kSingleTaskJobs, .duration_s = 10});
  world.inject({.at_s = 40, .kind = FaultKind::kQuotasFilled});
  auto used = [&](const Team& team) {
    double cpus = 0;
    for (const auto& [id, job] : world.ledger().jobs)
      if (job.spec->team == team)
        world.ledger().each_task(
            id, [&](const auto&, const auto&, const Task& task) { cpus += task.on_machine(); });
    return cpus;
  };
  double most = 0;
  for (double at_s = 40; at_s < 60; at_s += 0.5)
    world.at(at_s, [&] { most = std::max(most, used(teams()[0])); });
  std::size_t cancelled = 0;
  note(world, 30, "four a second, some cancelled", [&] {
    for (const auto& [id, job] : world.ledger().jobs) cancelled += job.cancelled.has_value();
    return world.ledger().jobs.size() == 40 && cancelled > 0;
  });
  expect_clean(world);
  EXPECT_EQ(most, kTeamCpus);
}

TEST_F(FaultInjection, NewMachinesBootFast) {
  World world(Options::scripted());
  world.inject({.at_s = 10, .kind = FaultKind::kFastBoot, .duration_s = 20});
  world.inject({.at_s = 12, .kind = FaultKind::kMachineCrash, .machines = MachineSelector::drawn(3)});
  auto there = [&] {
    return std::count_if(world.ledger().machines.begin(), world.ledger().machines.end(),
                         [](const auto& entry) { return !entry.second.terminated; });
  };
  note(world, 12.1, "terminated", [&] { return there() < 14; });
  note(world, 14.1, "replaced", [&] { return there() == 14; });
  expect_clean(world);
}

TEST_F(FaultInjection, MessagesBetweenControllersAreHeldLateOrLost) {
  EventQueue queue(1, false);
  Network network(queue);
  for (int controller = 0; controller < kControllers; ++controller) network.start(controller);
  std::vector<double> came;
  auto send = [&] { network.send_to_peer(0, 1, [&] { came.push_back(queue.now()); }); };
  auto drain = [&] {
    while (!queue.empty()) queue.step();
  };
  network.cut_peers(1, {5, true});
  send();
  drain();
  ASSERT_EQ(came.size(), 1u);
  EXPECT_GE(came[0], 5);
  network.cut_peers(1, {queue.now() + 5, false});
  send();
  drain();
  EXPECT_EQ(came.size(), 1u);
  queue.at(queue.now() + 10, [] {});
  drain();
  network.lose_peer_messages({queue.now() + 1, 1});
  send();
  drain();
  EXPECT_EQ(came.size(), 1u);
  network.lose_peer_messages({});
  network.delay_peer_messages({queue.now() + 1, 1});
  double sent = queue.now();
  send();
  drain();
  ASSERT_EQ(came.size(), 3u);  // late, and once more
  EXPECT_GT(came[1], sent + 0.4);
}

}  // namespace
}  // namespace beaconsill::sim
