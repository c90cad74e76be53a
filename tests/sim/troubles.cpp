#include "sim/troubles.h"

#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kLeaderBack = 1;
constexpr double kSmallJobPeriod = 0.25;
constexpr double kOddPeriod = 0.4;
constexpr double kPollStormPeriod = 0.1;
constexpr int kPollStormQuestions = 6;  // at a time: some thirty jobs, each asked about every 0.6 s
constexpr std::size_t kMostHanging = 8;
}  // namespace

const char* to_string(TroubleKind kind) {
  static const char* const names[] = {"node_ends",
                                      "node_stands_still",
                                      "leaders_change",
                                      "node_cut_from_state",
                                      "node_cut_from_peers",
                                      "node_cut_from_state_and_peers",
                                      "node_cut",
                                      "state_refuses_node",
                                      "state_outage",
                                      "state_slow",
                                      "lost_answers",
                                      "late_writes",
                                      "zone_cut",
                                      "lost_peer_messages",
                                      "late_peer_messages",
                                      "late_reports",
                                      "reports_for_next",
                                      "late_commands",
                                      "machine_hangs",
                                      "machine_deaf",
                                      "machine_mute",
                                      "machine_ends",
                                      "quick_machines",
                                      "cancel_now",
                                      "cancel_at_end",
                                      "close_looks",
                                      "odd_requests",
                                      "one_task_jobs",
                                      "limits_filled",
                                      "mistaken_jobs",
                                      "poll_storm",
                                      "machine_faulty",
                                      "late_machines",
                                      "node_silent"};
  static_assert(std::size(names) == kTroubleKinds);
  return names[static_cast<std::size_t>(kind)];
}

void Troubles::add(const Trouble& t) {
  over_ = std::max(over_, t.at_s + t.for_s);
  env_.queue.at(t.at_s, [this, t] { begin(t); });
}

std::optional<int> Troubles::leader() const {
  const auto* entry = env_.state.find(state_store::leader_role_key());
  if (!entry) return std::nullopt;
  return controller_number(state_store::parse_role(entry->value).controller);
}

std::vector<int> Troubles::choose(const Who& who) {
  int drawn = env_.queue.draw_below(kControllers);
  switch (who.kind) {
    case Who::Kind::kDrawn:
      return {drawn};
    case Who::Kind::kNumber:
      return {who.number};
    case Who::Kind::kLeader:
      return {leader().value_or(drawn)};
    case Who::Kind::kFollower:
      return {leader() == drawn ? (drawn + 1) % kControllers : drawn};
    case Who::Kind::kAll:
      break;
  }
  std::vector<int> all;
  for (int n = 0; n < kControllers; ++n) all.push_back(n);
  return all;
}

std::vector<Machine*> Troubles::choose(const Which& which) {
  std::vector<Machine*> out;
  for (auto& [name, m] : books_.machines) {
    if (m.gone || (which.name && *which.name != name) || (which.zone && *which.zone != m.zone)) continue;
    bool runs = std::any_of(m.tasks.begin(), m.tasks.end(), [&](const auto& t) {
      return which.running && t.first.first.job == *which.running && !t.second.ended;
    });
    if (!which.running || runs) out.push_back(&m);
  }
  bool any = !which.name && !which.zone && !which.running;
  auto count = static_cast<std::size_t>(which.count ? which.count : any ? 1 : 0);
  if (count == 0) return out;
  while (out.size() > count) out.erase(out.begin() + env_.queue.draw_below(static_cast<int>(out.size())));
  return out;
}

void Troubles::begin(const Trouble& t) {
  env_.outcome.schedule.push_back(std::to_string(env_.queue.now()) + " " + to_string(t.kind) + " for " +
                                  std::to_string(t.for_s));
  switch (t.kind) {
    case TroubleKind::kNodeEnds:
    case TroubleKind::kNodeStandsStill:
    case TroubleKind::kNodeCutFromState:
    case TroubleKind::kNodeCutFromPeers:
    case TroubleKind::kNodeCutFromStateAndPeers:
    case TroubleKind::kNodeCut:
    case TroubleKind::kStateRefusesNode:
    case TroubleKind::kNodeSilent:
      for (int n : choose(t.who)) begin_at_node(t, n);
      return;
    case TroubleKind::kLeadersChange:
      return change_leaders(t);
    case TroubleKind::kMachineHangs:
    case TroubleKind::kMachineDeaf:
    case TroubleKind::kMachineMute:
    case TroubleKind::kMachineEnds:
    case TroubleKind::kMachineFaulty:
      for (auto* m : choose(t.which)) begin_at_machine(t, *m);
      return;
    case TroubleKind::kQuickMachines:
      return env_.cloud.boot_quickly(env_.queue.now() + t.for_s);
    case TroubleKind::kLateMachines:
      return env_.cloud.boot_late(env_.queue.now() + t.for_s);
    case TroubleKind::kStateOutage:
    case TroubleKind::kStateSlow:
    case TroubleKind::kLostAnswers:
    case TroubleKind::kLateWrites:
      return begin_in_state_service(t);
    case TroubleKind::kZoneCut:
    case TroubleKind::kLostPeerMessages:
    case TroubleKind::kLatePeerMessages:
    case TroubleKind::kLateReports:
    case TroubleKind::kReportsForNext:
    case TroubleKind::kLateCommands:
      return begin_with_messages(t);
    case TroubleKind::kCancelNow:
    case TroubleKind::kCancelAtEnd:
    case TroubleKind::kCloseLooks:
    case TroubleKind::kOddRequests:
    case TroubleKind::kOneTaskJobs:
    case TroubleKind::kLimitsFilled:
    case TroubleKind::kMistakenJobs:
    case TroubleKind::kPollStorm:
      return begin_with_users(t);
  }
}

void Troubles::begin_at_node(const Trouble& t, int controller) {
  double until = env_.queue.now() + t.for_s;
  Cut cut{until, t.lease};
  auto& network = env_.network;
  env_.outcome.schedule.back() += " n" + std::to_string(controller);
  switch (t.kind) {
    case TroubleKind::kNodeEnds:
      return env_.controller(controller).crash(t.for_s);
    case TroubleKind::kNodeStandsStill:
      if (t.await) return network.stand_still_at(controller, *t.await, t.for_s);
      [[fallthrough]];
    case TroubleKind::kNodeSilent:
      return network.pause_detector(controller, until);
    case TroubleKind::kNodeCutFromState:
      return network.cut_state(controller, cut);
    case TroubleKind::kNodeCutFromPeers:
      return network.cut_peers(controller, cut);
    case TroubleKind::kStateRefusesNode:
      return env_.state.refuse(controller, until);
    case TroubleKind::kNodeCut:
      network.cut_workers(controller, cut);
      network.cut_users(controller, cut);
      [[fallthrough]];
    default:
      network.cut_state(controller, cut);
      network.cut_peers(controller, cut);
  }
}

void Troubles::begin_at_machine(const Trouble& t, Machine& m) {
  double until = env_.queue.now() + t.for_s;
  env_.outcome.schedule.back() += " " + m.name.value();
  switch (t.kind) {
    case TroubleKind::kMachineHangs:
      m.hangs_until = until;
      return;
    case TroubleKind::kMachineDeaf:
      m.deaf_until = until;
      return;
    case TroubleKind::kMachineMute:
      m.mute_until = until;
      return;
    case TroubleKind::kMachineFaulty:
      m.faulty_until = until;
      return;
    default:
      return env_.cloud.kill(m.name);
  }
}

void Troubles::begin_in_state_service(const Trouble& t) {
  double until = env_.queue.now() + t.for_s;
  Window window{until, t.share};
  switch (t.kind) {
    case TroubleKind::kStateOutage:
      return env_.state.outage(until);
    case TroubleKind::kStateSlow:
      return env_.state.answer_slowly(window);
    case TroubleKind::kLostAnswers:
      return env_.state.lose_answers(window);
    default:
      return env_.state.delay_writes(window);
  }
}

void Troubles::begin_with_messages(const Trouble& t) {
  double until = env_.queue.now() + t.for_s;
  Window window{until, t.share};
  switch (t.kind) {
    case TroubleKind::kZoneCut:
      return env_.network.cut_zone(t.zone.value_or(zones().front()), {until, t.lease});
    case TroubleKind::kLostPeerMessages:
      return env_.network.lose_peer_messages(window);
    case TroubleKind::kLatePeerMessages:
      return env_.network.delay_peer_messages(window);
    case TroubleKind::kLateReports:
      return env_.workers.copy_reports(window);
    case TroubleKind::kReportsForNext:
      return env_.workers.keep_copies_for_next(window);
    default:
      return env_.workers.delay_commands(window);
  }
}

void Troubles::begin_with_users(const Trouble& t) {
  double until = env_.queue.now() + t.for_s;
  switch (t.kind) {
    case TroubleKind::kCancelNow: {
      auto there = users_.cancel_now(t.count);
      if (there.size() > kMostHanging) there.resize(kMostHanging);
      for (const auto& name : there)
        if (auto* m = books_.machine(name)) m->hangs_until = std::max(m->hangs_until, until);
      return;
    }
    case TroubleKind::kCancelAtEnd:
      return users_.cancel_at_end({until, t.share});
    case TroubleKind::kCloseLooks:
      return users_.look_closely(until);
    case TroubleKind::kOddRequests:
      return repeat(until, kOddPeriod, [this] { users_.odd_request(); });
    case TroubleKind::kOneTaskJobs:
      return repeat(until, kSmallJobPeriod, [this] { users_.submit_small(); });
    case TroubleKind::kMistakenJobs:
      for (int i = 0; i < t.count; ++i) users_.submit_mistaken(t.for_s);
      return;
    case TroubleKind::kPollStorm:
      return repeat(until, kPollStormPeriod, [this] { users_.poll_drawn(kPollStormQuestions); });
    default:
      return users_.fill_limits();
  }
}

void Troubles::change_leaders(const Trouble& t) {
  repeat(env_.queue.now() + t.for_s, t.period_s, [this] {
    if (auto n = leader()) env_.controller(*n).crash(kLeaderBack);
  });
}

void Troubles::repeat(double until, double period, std::function<void()> f) {
  if (env_.queue.now() >= until) return;
  f();
  env_.queue.after(period, [this, until, period, f] { repeat(until, period, f); });
}

}  // namespace beaconsill::sim
