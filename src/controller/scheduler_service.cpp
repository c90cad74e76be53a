#include "controller/scheduler_service.h"

namespace beaconsill::controller {
namespace {
constexpr Duration kPeriod = std::chrono::milliseconds(100);
}  // namespace

SchedulerService::SchedulerService(ControllerContext& ctx, PeerService& peers, ShardService& shards)
    : ctx_(ctx),
      leadership_(ctx),
      grant_writer_(ctx, peers.messenger(), leadership_, [this] { schedule_run(); }),
      round_driver_(ctx, peers.messenger(), peers.status(), shards, leadership_, grant_writer_),
      terminal_record_writer_(ctx, peers.messenger(), leadership_),
      version_recorder_(ctx, leadership_),
      autoscaler_(ctx, peers.messenger(), shards, leadership_),
      garbage_collector_(ctx, leadership_),
      run_timer_(ctx.io_context, [this] { run(); }),
      early_run_timer_(ctx.io_context, [this] { run(); }) {}

void SchedulerService::start() {
  run_timer_.start(kPeriod);
  autoscaler_.start();
  garbage_collector_.start();
}

void SchedulerService::stop() {
  leadership_.stop();
  run_timer_.stop();
  autoscaler_.stop();
  garbage_collector_.stop();
  early_run_timer_.stop();
}

void SchedulerService::become_leader(Term term) {
  leadership_.begin_term(term);
  autoscaler_.begin_term(term);
  auto& scheduler = leadership_.scheduler();
  scheduler.on_terms(leadership_.shard_terms());
  for (const auto& [shard, summary] : summaries_) scheduler.on_summary(summary);
  for (const auto& [id, job] : ctx_.view().jobs()) refresh_job(id);
  autoscaler_.list_machines();
  schedule_run();
}

void SchedulerService::step_down() {
  leadership_.end_term();
  autoscaler_.end_term();
  terminal_record_writer_.reset();
  garbage_collector_.reset();
}

void SchedulerService::on_view(const state_store::StateView::ChangeSet& changes) {
  if (!is_leader()) return;
  std::set<JobId> jobs = changes.jobs;
  if (changes.roles)
    for (auto& id : leadership_.scheduler().on_terms(leadership_.shard_terms())) jobs.insert(id);
  refresh_jobs(jobs);
}

void SchedulerService::refresh_jobs(const std::set<JobId>& jobs) {
  for (const auto& id : jobs) refresh_job(id);
  if (!jobs.empty()) schedule_run();
}

void SchedulerService::refresh_job(const JobId& id) {
  const auto& view = ctx_.view();
  const auto* job = view.job(id);
  // A job that is cancelled because a job it depends on was cancelled has never had tasks, so there is
  // nothing to schedule.
  if (view.dependencies().unrecorded_cancellations().contains(id)) job = nullptr;
  // The job became ready when its last dependency was done. Versions that don't support dependencies don't
  // record when a job ended. If no dependency has such a time recorded, the current time is used.
  auto ready_since = view.dependencies().ready_since(id, ctx_.clock.wall());
  leadership_.scheduler().on_job(id, job, view.terminal_state(id), ctx_.now(), ready_since);
}

void SchedulerService::on_progress_report(const protocol::ProgressReport& report) {
  if (!is_leader()) return;
  protocol::ProgressReport known_jobs_report{report.shard, report.term, {}};
  std::set<JobId> jobs;
  for (const auto& progress : report.jobs) {
    if (!ctx_.view().job(progress.job)) continue;
    known_jobs_report.jobs.push_back(progress);
    jobs.insert(progress.job);
  }
  leadership_.scheduler().on_progress_report(known_jobs_report, ctx_.now());
  refresh_jobs(jobs);
}

void SchedulerService::on_estimate_response(const protocol::EstimateResponse& response) {
  if (!is_leader()) return;
  leadership_.scheduler().on_estimate_response(response);
  schedule_run();
}

void SchedulerService::on_summary(const protocol::Summary& summary) {
  summaries_[summary.shard] = summary;
  if (is_leader()) leadership_.scheduler().on_summary(summary);
}

void SchedulerService::on_catalogue() {
  autoscaler_.on_catalogue();
}

// Schedules run() for the next iteration of the event loop, unless it is already scheduled.
void SchedulerService::schedule_run() {
  if (!early_run_timer_.pending()) early_run_timer_.set(Duration(0));
}

void SchedulerService::run() {
  if (!is_leader()) return;
  leadership_.read_ledger([this] { schedule_run(); });
  round_driver_.run();
  terminal_record_writer_.write_completed();
  terminal_record_writer_.write_cancelled_dependents();
  version_recorder_.run();
}

}  // namespace beaconsill::controller
