// The shard leaders: worker heartbeats, commands, and the registry and progress records that they write.
// Simulation counterpart of `controller::ShardService`.
#include "sim/controller.h"
#include "state_store/machine_registry.h"

namespace beaconsill::sim {
namespace {
// Times are in seconds.
constexpr double kPauseThreshold = 1;
constexpr double kFullReportPeriod = 2;
constexpr double kProgressWriteDelay = 1;
constexpr double kAcknowledgedProgressWriteDelay = 20;
constexpr double kReleaseWriteDelay = 2;
constexpr double kGracePeriod = 5;
constexpr double kCancelMargin = 1;
constexpr state_store::RegistryLimits kRegistryLimits{16, std::size_t{8} * 1024};

void drop_stops_of_saving_tasks(shard::ShardManager& shard, shard::ShardManager::Batch& batch) {
  const auto& tasks = shard.find_machine(batch.machine)->tasks;
  std::erase_if(batch.commands, [&](const protocol::Command& command) {
    auto task = tasks.find({command.task, command.attempt});
    return command.op == protocol::Command::Op::kStop && task != tasks.end() &&
           task->second.state == protocol::TaskState::kSaving;
  });
}

std::vector<ControllerName> all_controllers() {
  std::vector<ControllerName> controllers;
  controllers.reserve(kControllers);
  for (int number = 0; number < kControllers; ++number) controllers.push_back(controller_name(number));
  return controllers;
}
}  // namespace

void Controller::acquire_shard(ShardId id, Term term) {
  shard::ShardParams params;
  params.heartbeat_period = from_seconds(env_.options.heartbeat_period_s);
  params.lease = from_seconds(kLease);
  params.cancel_limit = from_seconds(kCancelLimit);
  params.grace = from_seconds(kGracePeriod);
  auto& led = process_.shards[id];
  led = {};
  led.shard = std::make_unique<shard::ShardManager>(id, term, params, instant());
  led.shard->set_catalogue(env_.catalogue);
  for (const auto& [job, record] : view().jobs()) publish_to_shard(*led.shard, job);
  ++env_.outcome.shard_acquisitions;
}

Controller::LedShard* Controller::find_led_shard(ShardId id, Term term) {
  auto it = process_.shards.find(id);
  return it == process_.shards.end() || it->second.shard->term() != term ? nullptr : &it->second;
}

const shard::ShardManager* Controller::shard(ShardId id) const {
  auto it = process_.shards.find(id);
  return it == process_.shards.end() ? nullptr : it->second.shard.get();
}

std::vector<protocol::ShardTerm> Controller::led_shards() const {
  std::vector<protocol::ShardTerm> out;
  for (const auto& [id, led] : process_.shards)
    if (!led.shard->superseded()) out.push_back({id, led.shard->term()});
  return out;
}

void Controller::publish_to_shard(shard::ShardManager& shard, const JobId& job) {
  auto state = view().terminal_state(job);
  if (has_bug(SeededBug::kCancellationsIgnored) && state == state_store::TerminalState::kCancelled)
    state.reset();
  shard.on_job(job, view().job(job), state, instant());
}

// Returns the number of running tasks of the job, according to the shards led here and to the other shards'
// latest summaries.
std::uint32_t Controller::count_running_tasks(const JobId& id) const {
  std::uint32_t count = 0;
  for (const auto& [shard, led] : process_.shards) count += led.shard->running(id);
  for (const auto& [shard, summary] : process_.summaries) {
    if (process_.shards.contains(shard)) continue;
    for (const auto& job : summary.running)
      if (job.job == id) count += job.running;
  }
  return count;
}

void Controller::load_registry(ShardId id) {
  auto registered = state_store::registered_machines(view(), id);
  auto& shard = *process_.shards.at(id).shard;
  if (has_bug(SeededBug::kRegistryNotRead))
    std::erase_if(registered, [&](const auto& machine) { return !shard.find_machine(machine.name); });
  shard.on_registry_read(registered, instant());
}

void Controller::read_registry(ShardId id, LedShard& led) {
  if (led.registry_read || led.registry_read_in_progress) return;
  led.registry_read_in_progress = true;
  process_.watch_cache->sync([this, id, term = led.shard->term()](bool ok) {
    auto* still_led = find_led_shard(id, term);
    if (!still_led) return;
    still_led->registry_read_in_progress = false;
    if (!ok) return;
    still_led->registry_read = true;
    load_registry(id);
  });
}

void Controller::tick_shards() {
  if (now() - process_.last_tick_s > kPauseThreshold)
    for (auto& [id, led] : process_.shards) led.shard->on_process_pause(instant());
  std::vector<ShardId> ids;
  for (auto& [id, led] : process_.shards) ids.push_back(id);
  for (auto id : ids) tick_shard(id);
}

void Controller::tick_shard(ShardId id) {
  auto& led = process_.shards.at(id);
  auto term = led.shard->term();
  read_registry(id, led);
  led.shard->tick(instant(), *cancellations_known_until(), *process_.watch_cache->up_to_date_at());
  for (auto& batch : led.shard->take_command_batches(instant())) {
    if (has_bug(SeededBug::kSavingTasksNotStopped)) drop_stops_of_saving_tasks(*led.shard, batch);
    send_commands(id, term, batch);
  }
  notify_leader(id, led);
  write_registry(id, led);
  write_progress(id, led);
  for (auto& machine : led.shard->take_machines_to_delete(instant())) delete_machine(id, term, machine);
}

void Controller::notify_leader(ShardId id, LedShard& led) {
  const auto& leader = view().leader();
  if (led.shard->superseded() || !leader.exists()) return;
  bool full_report = now() >= led.next_full_report_at || led.fully_reported_leader_term != leader.value.term;
  if (full_report) {
    led.next_full_report_at = now() + kFullReportPeriod;
    led.fully_reported_leader_term = leader.value.term;
  }
  auto jobs = led.shard->progress_report(full_report);
  if (has_bug(SeededBug::kReleasesNotReported))
    for (auto& job : jobs) job.released.clear();
  if (has_bug(SeededBug::kFailuresNotReported))
    for (auto& job : jobs) job.health = protocol::JobHealth::kNone;
  if (jobs.empty()) return;
  protocol::ProgressReport progress_report{id, led.shard->term(), std::move(jobs)};
  send(controller_number(leader.value.controller),
       [progress_report](Controller& controller) { controller.on_progress_report(progress_report); });
}

void Controller::on_estimate_request(int leader, const protocol::EstimateRequest& estimate_request) {
  for (auto& [id, led] : process_.shards) {
    protocol::EstimateResponse response{
        estimate_request.round, id, led.shard->term(), process_.watch_cache->revision(), {}};
    for (const auto& request : estimate_request.resource_requests)
      response.capacities.push_back(led.shard->estimate(request, instant()));
    send(leader, [response](Controller& controller) { controller.on_estimate_response(response); });
  }
}

void Controller::commit_shard_txn(ShardId id, Term term, const protocol::Txn& txn,
                                  bool LedShard::*in_progress) {
  find_led_shard(id, term)->*in_progress = true;
  env_.state.txn(number_, txn, [this, id, term, txn, in_progress](state_store::TxnResult result) {
    if (result) {
      if (auto* led = find_led_shard(id, term)) led->*in_progress = false;
      return process_.watch_cache->apply_own_txn(txn, *result);
    }
    process_.watch_cache->sync([this, id, term, in_progress](bool) {
      if (auto* led = find_led_shard(id, term)) led->*in_progress = false;
    });
  });
}

void Controller::write_registry(ShardId id, LedShard& led) {
  const auto& role = view().shard_role(id);
  if (led.registry_write_in_progress || !role.exists() || role.value.term != led.shard->term()) return;
  auto txn = state_store::registry_txn(view(), id, led.shard->registry_buckets_to_write(), all_controllers(),
                                       kRegistryLimits);
  if (txn) commit_shard_txn(id, led.shard->term(), *txn, &LedShard::registry_write_in_progress);
}

void Controller::write_progress(ShardId id, LedShard& led) {
  const auto& role = view().shard_role(id);
  if (led.progress_write_in_progress || !role.exists() || role.value.term != led.shard->term()) return;
  auto unwritten_progress = led.shard->unwritten_progress();
  std::erase_if(led.progress_unwritten_since,
                [&](const auto& entry) { return !unwritten_progress.contains(entry.first); });
  const auto& leader = view().leader();
  bool acknowledged = leader.exists() &&
                      process_.heartbeats->reachable(controller_number(leader.value.controller), instant());
  protocol::Txn txn{{{state_store::shard_role_key(id), role.revision}}, {}};
  for (auto& [job_id, progress] : unwritten_progress) {
    double delay = !acknowledged               ? kProgressWriteDelay
                   : progress.released.empty() ? kAcknowledgedProgressWriteDelay
                                               : kReleaseWriteDelay;
    if (now() - led.progress_unwritten_since.try_emplace(job_id, now()).first->second < delay) continue;
    if (has_bug(SeededBug::kReleasesNotReported)) progress.released.clear();
    const auto* job = view().job(job_id);
    if (!job) continue;
    auto key = state_store::progress_key(id, job_id);
    auto recorded = job->progress.find(id);
    txn.conditions.push_back({key, recorded == job->progress.end() ? Revision() : recorded->second.revision});
    txn.writes.push_back({key, state_store::to_json(progress), std::nullopt});
  }
  if (!txn.writes.empty())
    commit_shard_txn(id, led.shard->term(), txn, &LedShard::progress_write_in_progress);
}

void Controller::on_worker_heartbeat(const protocol::WorkerHeartbeat& heartbeat,
                                     const Workers::Reply& reply) {
  auto id = env_.partitioning.shard_of(heartbeat.zone, heartbeat.machine);
  auto it = process_.shards.find(id);
  if (it == process_.shards.end() || it->second.shard->superseded()) return relay(id, heartbeat, reply);
  auto out = process_heartbeat(it->second, id, heartbeat);
  it->second.shard->on_direct_contact(heartbeat.machine);
  reply(out);
}

HeartbeatReply Controller::process_heartbeat(LedShard& led, ShardId id,
                                             const protocol::WorkerHeartbeat& heartbeat) {
  auto& shard = *led.shard;
  // If this controller has not known all cancellations for longer than this, some of the machine's tasks may
  // be cancelled. The machine's lease must then be allowed to expire, so the heartbeat gets no response,
  // which would renew the lease.
  if (instant() - *cancellations_known_until() > from_seconds(kCancelLimit - kLease - kCancelMargin))
    return {};
  shard.on_worker_heartbeat(heartbeat, instant());
  if (shard.superseded()) {
    process_.watch_cache->sync([](bool) {});
    return {std::nullopt, leader_of(id).value_or(-1)};
  }
  if (!shard.find_machine(heartbeat.machine)) return {};
  return {shard.heartbeat_response(heartbeat.machine, instant()), -1};
}

void Controller::send_commands(ShardId id, Term term, const shard::ShardManager::Batch& batch) {
  auto incarnation = env_.network.incarnation(number_);
  env_.workers.send_commands(
      number_, batch, [this, id, term, batch, incarnation](const std::optional<CommandReply>& reply) {
        env_.network.run(number_, incarnation, CallbackKind::kCommand, [this, id, term, batch, reply] {
          auto* led = find_led_shard(id, term);
          if (!led) return;
          using Result = shard::ShardManager::CommandResult;
          if (!reply) return led->shard->on_command_result(batch, Result::kNoAnswer, std::nullopt, instant());
          led->shard->on_command_result(batch, reply->executed ? Result::kExecuted : Result::kRejected,
                                        reply->heartbeat, instant());
        });
      });
}

void Controller::delete_machine(ShardId id, Term term, const MachineName& machine) {
  env_.decisions.on_deletion(number_, machine);
  auto incarnation = env_.network.incarnation(number_);
  env_.cloud.delete_machine(machine, [this, id, term, machine, incarnation](bool ok) {
    env_.network.run(number_, incarnation, CallbackKind::kCommand, [this, id, term, machine, ok] {
      if (ok) {
        broadcast([machine](Controller& controller) { controller.on_machine_terminated(machine); });
        on_machine_terminated(machine);
      } else if (auto* led = find_led_shard(id, term)) {
        led->shard->on_delete_failed(machine, instant());
      }
    });
  });
}

void Controller::on_machine_terminated(const MachineName& machine) {
  for (auto& [id, led] : process_.shards) led.shard->on_machine_terminated(machine, instant());
}

}  // namespace beaconsill::sim
