#include "controller/shard_service.h"

#include <utility>

#include "base/log.h"

namespace beaconsill::controller {
namespace {
constexpr Duration kPeriod = std::chrono::milliseconds(100);
// Events that arrive within this delay are handled together in one run, since dozens of heartbeats and
// responses arrive per second.
constexpr Duration kBatchDelay = std::chrono::milliseconds(10);
}  // namespace

ShardService::ShardService(ControllerContext& ctx, PeerService& peers, LeaderNotifier::Send notify_leader)
    : ctx_(ctx),
      peers_(peers),
      registry_sync_(ctx, shards_, [this] { schedule_run(); }),
      progress_writer_(ctx, peers.messenger(), peers.status(), shards_),
      leader_notifier_(ctx, std::move(notify_leader)),
      command_sender_(ctx, shards_, [this] { schedule_run(); }),
      heartbeats_(ctx, peers.messenger(), peers.status(), peers.cancellations(), shards_,
                  [this] { schedule_run(); }),
      run_timer_(ctx.io_context, [this] { run_periodic(); }),
      early_run_timer_(ctx.io_context, [this] { run(); }) {}

void ShardService::start() {
  run_timer_.start(kPeriod);
}

void ShardService::stop() {
  stopped_ = true;
  run_timer_.stop();
  early_run_timer_.stop();
  registry_sync_.stop();
  command_sender_.stop();
}

void ShardService::acquire_shard(ShardId id, Term term) {
  shard::ShardParams params;
  params.heartbeat_period = from_seconds(ctx_.settings.worker_heartbeat_period_s);
  params.lease = from_seconds(ctx_.settings.lease_s);
  params.cancel_limit = from_seconds(ctx_.settings.cancel_s);
  params.grace = ctx_.policy.grace;
  params.rules = {ctx_.policy.task_cap, ctx_.policy.reserve};
  auto& shard = shards_.add(id);
  shard.manager = std::make_unique<shard::ShardManager>(id, term, params, ctx_.now());
  shard.manager->set_catalogue(ctx_.catalogue);
  for (const auto& [job, record] : ctx_.view().jobs())
    shard.manager->on_job(job, &record, ctx_.view().terminal_state(job), ctx_.now());
  schedule_run();
}

void ShardService::release_shard(ShardId id) {
  shards_.remove(id);
}

void ShardService::on_peer_terms(const std::vector<protocol::ShardTerm>& terms) {
  for (const auto& led_elsewhere : terms)
    if (auto* shard = shards_.find(led_elsewhere.shard)) shard->manager->supersede(led_elsewhere.term);
}

bool ShardService::is_stable(ShardId id) const {
  const auto* shard = shards_.find(id);
  return shard && shard->manager->is_stable(ctx_.now());
}

std::vector<protocol::ShardTerm> ShardService::led_terms() const {
  std::vector<protocol::ShardTerm> terms;
  for (const auto& [id, shard] : shards_)
    if (!shard.manager->superseded()) terms.push_back({id, shard.manager->term()});
  return terms;
}

void ShardService::on_view(const state_store::StateView::ChangeSet& changes) {
  for (auto& [id, shard] : shards_) {
    if (changes.machines.contains(id)) registry_sync_.on_registry_changed(id, shard);
    for (const auto& job : changes.jobs)
      shard.manager->on_job(job, ctx_.view().job(job), ctx_.view().terminal_state(job), ctx_.now());
  }
  if (!changes.jobs.empty() || !changes.machines.empty()) schedule_run();
}

void ShardService::on_catalogue() {
  for (auto& [id, shard] : shards_) shard.manager->set_catalogue(ctx_.catalogue);
  schedule_run();
}

void ShardService::on_estimate_request(const protocol::EstimateRequest& request,
                                       const std::function<void(protocol::EstimateResponse)>& respond) {
  for (auto& [id, shard] : shards_) {
    protocol::EstimateResponse response{
        request.round, id, shard.manager->term(), ctx_.watch_cache->revision(), {}};
    for (const auto& resource_request : request.resource_requests)
      response.capacities.push_back(shard.manager->estimate(resource_request, ctx_.now()));
    respond(std::move(response));
  }
}

void ShardService::on_machines_terminated(const std::vector<MachineName>& machines) {
  for (auto& [id, shard] : shards_)
    for (const auto& machine : machines) shard.manager->on_machine_terminated(machine, ctx_.now());
  for (const auto& machine : machines) command_sender_.on_machine_terminated(machine);
  schedule_run();
}

void ShardService::on_release_machines(const std::vector<MachineName>& machines) {
  for (auto& [id, shard] : shards_)
    for (const auto& machine : machines) shard.manager->release(machine);
  schedule_run();
}

std::vector<protocol::Summary> ShardService::summaries() const {
  std::vector<protocol::Summary> summaries;
  for (const auto& [id, shard] : shards_) {
    summaries.push_back(shard.manager->summary(ctx_.now()));
    summaries.back().seen = ctx_.watch_cache->revision();
  }
  return summaries;
}

std::uint32_t ShardService::count_running_tasks(const JobId& id) const {
  std::uint32_t running = 0;
  for (const auto& [shard_id, shard] : shards_) running += shard.manager->running(id);
  return running;
}

void ShardService::schedule_run() {
  if (!early_run_timer_.pending()) early_run_timer_.set(kBatchDelay);
}

// Does the work that workers wait for.
void ShardService::run() {
  heartbeats_.redirect_expired();
  for (auto& [id, shard] : shards_) {
    registry_sync_.read(id, shard);
    // Both times are available once the whole state was read, and this controller leads no shard before that.
    auto up_to_date_at = ctx_.watch_cache->up_to_date_at();
    auto cancellations_known_until = peers_.cancellations().known_until();
    if (up_to_date_at && cancellations_known_until)
      shard.manager->tick(ctx_.now(), *cancellations_known_until, *up_to_date_at);
    for (auto& batch : shard.manager->take_command_batches(ctx_.now()))
      command_sender_.send(id, shard, std::move(batch));
  }
}

// Calls run(), and then does the work that can wait for the timer's next period.
void ShardService::run_periodic() {
  notify_of_process_pause();
  run();
  for (auto& [id, shard] : shards_) {
    leader_notifier_.run(id, shard);
    registry_sync_.write(id, shard);
    progress_writer_.write(id, shard);
    delete_machines(id, shard);
  }
}

void ShardService::notify_of_process_pause() {
  auto now = ctx_.now();
  ctx_.pause_detector.observe(now);
  if (ctx_.pause_detector.last_pause_end() == notified_pause_end_) return;
  notified_pause_end_ = ctx_.pause_detector.last_pause_end();
  for (auto& [id, shard] : shards_) shard.manager->on_process_pause(now);
}

// After a pause of the process, another controller may lead the shard and use machines that appear idle here.
// Machines are therefore deleted only if the roles have been read since.
void ShardService::delete_machines(ShardId id, LedShard& shard) {
  if (!ctx_.roles_read_since_pause()) return;
  auto machines = shard.manager->take_machines_to_delete(ctx_.now());
  if (machines.empty()) return;
  ctx_.cloud->delete_machines(machines, [this, id, term = shard.manager->term(),
                                         machines](const cloud::CloudClient::DeleteResult& deleted) {
    if (stopped_) return;
    if (deleted) {
      peers_.messenger().broadcast(protocol::TerminatedMachines{machines});
      on_machines_terminated(machines);
      return;
    }
    spdlog::info("machine_deletion_failed shard={} count={} reason=cloud_did_not_confirm_deletion",
                 id.value(), machines.size());
    if (auto* led = shards_.find(id, term))
      for (const auto& machine : machines) led->manager->on_delete_failed(machine, ctx_.now());
  });
}

}  // namespace beaconsill::controller
