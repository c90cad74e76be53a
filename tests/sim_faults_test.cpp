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
  void note(World& w, double at_s, const std::string& what, std::function<bool()> holds) {
    w.at(at_s, [this, what, holds] { seen_[what] = holds(); });
  }
  void expect_clean(World& w) {
    auto r = w.run();
    EXPECT_TRUE(r.violations.empty()) << r.first_violation;
    for (const auto& [what, held] : seen_) EXPECT_TRUE(held) << what;
    EXPECT_FALSE(seen_.empty());
  }
  static bool stored(World& w, const JobId& id) {
    return w.state().find(state_store::job_key(id)) || w.state().find(state_store::terminal_key(id));
  }

  std::map<std::string, bool> seen_;
};

TEST_F(FaultInjection, EveryKindIsDrawn) {
  std::set<std::string> drawn;
  for (std::uint64_t seed = 1; seed <= 40 && drawn.size() < kFaultKinds; ++seed) {
    Options o;
    o.seed = seed;
    o.operations = true;
    for (const auto& line : World(o).run().schedule)
      for (int k = 0; k < kFaultKinds; ++k)
        if (line.find(std::string(" ") + to_string(static_cast<FaultKind>(k)) + " for") != std::string::npos)
          drawn.insert(to_string(static_cast<FaultKind>(k)));
  }
  EXPECT_EQ(drawn.size(), static_cast<std::size_t>(kFaultKinds));
}

TEST_F(FaultInjection, WritesComeLateOrAtOnceWithoutAnAnswer) {
  auto job = array_job("run-1", 2);
  {
    World w(Options::scripted());
    w.inject({.at_s = 5, .kind = FaultKind::kLateWrites, .duration_s = 1});
    w.submit(5.1, job, 1);
    w.submit(20, job, 1);
    note(w, 7, "not yet", [&] { return !stored(w, job.id); });
    note(w, 18, "late", [&] { return stored(w, job.id); });
    expect_clean(w);
  }
  seen_.clear();
  World w(Options::scripted());
  w.inject({.at_s = 5, .kind = FaultKind::kLostResponses, .duration_s = 1});
  w.submit(5.1, job, 1);
  note(w, 5.2, "at once", [&] { return stored(w, job.id); });
  note(w, 5.3, "unanswered", [&] { return w.responses().empty(); });
  note(w, 8, "read back", [&] { return w.responses().at(0).status == 200; });
  expect_clean(w);
}

TEST_F(FaultInjection, TheStateStoreRefusesAControllerOrIsCutFromIt) {
  World w(Options::scripted());
  w.inject({.at_s = 10,
            .kind = FaultKind::kStateRefusesController,
            .duration_s = 5,
            .controllers = ControllerSelector::controller(1)});
  w.inject({.at_s = 20,
            .kind = FaultKind::kControllerCutFromState,
            .duration_s = 5,
            .controllers = ControllerSelector::controller(2)});
  w.inject({.at_s = 30,
            .kind = FaultKind::kControllerCutFromStateAndPeers,
            .duration_s = 5,
            .controllers = ControllerSelector::controller(0)});
  note(w, 12, "refused",
       [&] { return !w.state().answers(1) && w.state().answers(0) && w.state().answers(2); });
  note(w, 12, "not cut", [&] { return !w.network().blocked_path_to_state(1); });
  note(w, 22, "cut", [&] { return !w.state().answers(2) && w.state().answers(1); });
  note(w, 22, "reaches the others", [&] { return !w.network().blocked_path_between(2, 0); });
  note(w, 32, "cut off", [&] { return !w.state().answers(0) && w.network().blocked_path_between(0, 1); });
  note(w, 32, "not from its workers", [&] { return !w.network().blocked_path_to_worker(0, Zone("east")); });
  note(w, 36, "over", [&] { return w.state().answers(0) && !w.network().blocked_path_between(0, 1); });
  expect_clean(w);
}

TEST_F(FaultInjection, AZoneIsCutOffWithItsController) {
  World w(Options::scripted());
  auto job = service_job("run-1", 4);
  job.zone = Zone("west");
  w.submit(5, job, 1);
  w.inject({.at_s = 20, .kind = FaultKind::kZoneCut, .duration_s = 15, .zone = Zone("west")});
  std::vector<MachineName> before;
  w.at(19.9, [&] { before = w.running_on(job.id); });
  note(w, 25, "without state service", [&] { return !w.state().answers(1); });
  note(w, 25, "without users", [&] { return w.network().blocked_path_to_user(1).has_value(); });
  note(w, 25, "with its workers", [&] { return !w.network().blocked_path_to_worker(1, Zone("west")); });
  note(w, 25, "others don't reach them",
       [&] { return w.network().blocked_path_to_worker(0, Zone("west")).has_value(); });
  note(w, 34, "runs on beyond a lease", [&] { return !before.empty() && w.running_on(job.id) == before; });
  expect_clean(w);
}

TEST_F(FaultInjection, AControllerIsPausedAtOnceOrBeforeACallback) {
  World w(Options::scripted());
  auto job = array_job("run-1", 2);
  w.inject({.at_s = 10,
            .kind = FaultKind::kControllerPause,
            .duration_s = 1.5,
            .controllers = ControllerSelector::controller(1)});
  w.poll(10.1, JobId("run-7"), 1);
  w.inject({.at_s = 20,
            .kind = FaultKind::kControllerPause,
            .duration_s = 3,
            .controllers = ControllerSelector::controller(1),
            .before_callback = CallbackKind::kUserRequest});
  w.submit(20.5, job, 1);
  w.poll_all(40, job.id);
  note(w, 11.4, "no answer", [&] { return w.responses().empty(); });
  note(w, 11.7, "answered", [&] { return w.responses().size() == 1 && w.responses()[0].status == 404; });
  note(w, 23.4, "not stored", [&] { return !stored(w, job.id); });
  note(w, 23.7, "stored", [&] { return stored(w, job.id); });
  expect_clean(w);
}

TEST_F(FaultInjection, MachinesAreCutOneWayOrHang) {
  World w(Options::scripted());
  MachineName inbound_cut("host-0"), outbound_cut("host-1"), hanging("host-2");
  auto token = [&](const MachineName& m) { return w.ledger().machine(m)->token; };
  auto heartbeats = [&](const MachineName& m) { return w.ledger().machine(m)->sequence; };
  w.inject({.at_s = 20,
            .kind = FaultKind::kMachineInboundCut,
            .duration_s = 3,
            .machines = MachineSelector::machine(inbound_cut)});
  w.inject({.at_s = 20,
            .kind = FaultKind::kMachineOutboundCut,
            .duration_s = 3,
            .machines = MachineSelector::machine(outbound_cut)});
  w.inject({.at_s = 20,
            .kind = FaultKind::kMachineHangs,
            .duration_s = 3,
            .machines = MachineSelector::machine(hanging)});
  std::uint64_t token_before = 0, heartbeats_before = 0, hung_heartbeats = 0;
  double outbound_cut_lease = 0, inbound_cut_lease = 0;
  w.at(20.01, [&] {
    token_before = token(inbound_cut);
    heartbeats_before = heartbeats(inbound_cut);
    hung_heartbeats = heartbeats(hanging);
    outbound_cut_lease = w.ledger().machine(outbound_cut)->lease_from;
    inbound_cut_lease = w.ledger().machine(inbound_cut)->lease_from;
  });
  note(w, 22.9, "the one without inbound messages sends heartbeats",
       [&] { return heartbeats(inbound_cut) > heartbeats_before; });
  note(w, 22.9, "and gets no answer", [&] {
    return token(inbound_cut) == token_before &&
           w.ledger().machine(inbound_cut)->lease_from <= inbound_cut_lease + 0.02;
  });
  note(w, 22.9, "the one without outbound messages renews no lease",
       [&] { return w.ledger().machine(outbound_cut)->lease_from <= outbound_cut_lease + 0.02; });
  note(w, 22.9, "the hanging one does nothing", [&] { return heartbeats(hanging) == hung_heartbeats; });
  // The one without inbound messages may have been deleted: nobody knows that it would be reachable again.
  auto back = [&](const MachineName& m) {
    return w.ledger().machine(m) && w.ledger().machine(m)->lease_from > 23;
  };
  note(w, 30, "the one without outbound messages is back", [&] { return back(outbound_cut); });
  note(w, 30, "the hanging one is back", [&] { return back(hanging); });
  note(w, 30, "the one without inbound messages is back or deleted",
       [&] { return back(inbound_cut) || !w.ledger().machine(inbound_cut); });
  expect_clean(w);
}

TEST_F(FaultInjection, CommandsAreHeldUpAndCarriedOutLate) {
  World w(Options::scripted());
  auto job = array_job("run-1", 2);
  w.inject({.at_s = 5, .kind = FaultKind::kLateCommands, .duration_s = 1.5});
  w.submit(5.1, job, 1, 3);
  note(w, 7, "not started", [&] { return w.running_on(job.id).empty(); });
  expect_clean(w);
  EXPECT_EQ(w.ledger().jobs.at(job.id).done.size(), 2u);
}

TEST_F(FaultInjection, HeartbeatsAreHeldForTheNextLeader) {
  World w(Options::scripted());
  w.submit(2, service_job("run-1", 4), 1);
  w.inject({.at_s = 10, .kind = FaultKind::kHeartbeatsForNextLeader, .duration_s = 5});
  w.inject({.at_s = 20,
            .kind = FaultKind::kControllerCrash,
            .duration_s = 3,
            .controllers = ControllerSelector::leader()});
  int leader = -1;
  w.at(19.9, [&] { leader = w.leader().value_or(-1); });
  note(w, 16, "kept", [&] { return w.workers().held_heartbeats() > 10; });
  note(w, 19.9, "kept still", [&] { return w.workers().held_heartbeats() > 10; });
  note(w, 30, "delivered", [&] { return w.workers().held_heartbeats() == 0; });
  note(w, 30, "another leads", [&] { return w.leader() && w.leader() != leader; });
  expect_clean(w);
}

TEST_F(FaultInjection, LeadersFailOverRepeatedly) {
  World w(Options::scripted());
  w.submit(2, service_job("run-1", 4), 1);
  w.inject({.at_s = 10, .kind = FaultKind::kRepeatedFailover, .duration_s = 119, .period_s = 12});
  auto term = [&] {
    return state_store::parse_role(w.state().find(state_store::leader_role_key())->value).term.value();
  };
  std::uint64_t first = 0;
  w.at(9.9, [&] { first = term(); });
  note(w, 135, "ten times", [&] { return term() >= first + 10; });
  expect_clean(w);
}

TEST_F(FaultInjection, UsersCancelQueryInBurstsAndSendInvalidRequests) {
  World w(Options::scripted());
  auto cut_short = array_job("run-1", 4);
  auto ended = array_job("run-2", 2);
  w.inject({.at_s = 1, .kind = FaultKind::kQueryBursts, .duration_s = 30});
  w.inject({.at_s = 1, .kind = FaultKind::kCancelAtCompletion, .duration_s = 12});
  w.submit(2, cut_short, 1, 60);
  w.submit(2, ended, 2, 3);
  w.inject({.at_s = 15, .kind = FaultKind::kCancelRunning, .duration_s = 6, .count = 3});
  w.inject({.at_s = 40, .kind = FaultKind::kInvalidRequests, .duration_s = 20});
  auto queries = [&](double from, double to) {
    std::set<int> controllers;
    for (const auto& a : w.responses())
      if (a.request == UserRequest::kStatus && a.sent_s >= from && a.sent_s < to)
        controllers.insert(a.controller);
    return controllers.size();
  };
  note(w, 3, "queries after the acceptance", [&] { return queries(2, 2.2) == kControllers; });
  note(w, 12, "cancelled at its end", [&] { return w.ledger().jobs.at(ended.id).cancel_asked; });
  note(w, 17, "cancelled", [&] { return w.ledger().jobs.at(cut_short.id).cancelled.has_value(); });
  note(w, 17, "its machines hang", [&] {
    return std::any_of(w.ledger().machines.begin(), w.ledger().machines.end(),
                       [&](const auto& m) { return m.second.hangs_until > w.now(); });
  });
  expect_clean(w);
  std::map<int, int> statuses;
  for (const auto& a : w.responses())
    if (a.sent_s > 40) ++statuses[a.status];
  for (int status : {200, 400, 404, 422}) EXPECT_GT(statuses[status], 0) << status;
}

TEST_F(FaultInjection, SingleTaskJobsAndFilledQuotas) {
  World w(Options::scripted());
  w.inject({.at_s = 5, .kind = FaultKind::kSingleTaskJobs, .duration_s = 10});
  w.inject({.at_s = 40, .kind = FaultKind::kQuotasFilled});
  auto used = [&](const Team& team) {
    double cpus = 0;
    for (const auto& [id, j] : w.ledger().jobs)
      if (j.spec->team == team)
        w.ledger().each_task(id, [&](const auto&, const auto&, const Task& t) { cpus += t.on_machine(); });
    return cpus;
  };
  double most = 0;
  for (double t = 40; t < 60; t += 0.5) w.at(t, [&] { most = std::max(most, used(teams()[0])); });
  std::size_t cancelled = 0;
  note(w, 30, "four a second, some cancelled", [&] {
    for (const auto& [id, j] : w.ledger().jobs) cancelled += j.cancelled.has_value();
    return w.ledger().jobs.size() == 40 && cancelled > 0;
  });
  expect_clean(w);
  EXPECT_EQ(most, kTeamCpus);
}

TEST_F(FaultInjection, NewMachinesBootFast) {
  World w(Options::scripted());
  w.inject({.at_s = 10, .kind = FaultKind::kFastBoot, .duration_s = 20});
  w.inject({.at_s = 12, .kind = FaultKind::kMachineCrash, .machines = MachineSelector::drawn(3)});
  auto there = [&] {
    return std::count_if(w.ledger().machines.begin(), w.ledger().machines.end(),
                         [](const auto& m) { return !m.second.terminated; });
  };
  note(w, 12.1, "terminated", [&] { return there() < 14; });
  note(w, 14.1, "replaced", [&] { return there() == 14; });
  expect_clean(w);
}

TEST_F(FaultInjection, MessagesBetweenControllersAreHeldLateOrLost) {
  EventQueue queue(1, false);
  Network network(queue);
  for (int n = 0; n < kControllers; ++n) network.start(n);
  std::vector<double> came;
  auto send = [&] { network.peer(0, 1, [&] { came.push_back(queue.now()); }); };
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
