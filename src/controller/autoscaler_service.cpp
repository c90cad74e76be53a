#include "controller/autoscaler_service.h"

#include <string>
#include <utility>

namespace beaconsill::controller {
namespace {
constexpr Duration kPeriod = std::chrono::milliseconds(500);
constexpr Duration kListPeriod = std::chrono::milliseconds(2500);
}  // namespace

AutoscalerService::AutoscalerService(ControllerContext& ctx, PeerMessenger& messenger, ShardService& shards,
                                     Leadership& leadership)
    : ctx_(ctx),
      messenger_(messenger),
      shards_(shards),
      leadership_(leadership),
      run_timer_(ctx.io_context, [this] { run(); }),
      list_timer_(ctx.io_context, [this] { list_machines(); }) {}

void AutoscalerService::start() {
  run_timer_.start(kPeriod);
  list_timer_.start(kListPeriod);
}

void AutoscalerService::stop() {
  stopped_ = true;
  run_timer_.stop();
  list_timer_.stop();
}

void AutoscalerService::begin_term(Term term) {
  scheduler::AutoscalerParams params{ctx_.policy.idle_return, ctx_.policy.quiet_return,
                                     from_seconds(ctx_.settings.list_lag_s), ctx_.policy.task_cap};
  autoscaler_ = std::make_unique<scheduler::Autoscaler>(params, "t" + std::to_string(term.value()) + "-");
  autoscaler_->set_catalogue(ctx_.catalogue);
  if (term > Term(1)) autoscaler_->on_takeover(ctx_.now());
}

void AutoscalerService::on_catalogue() {
  if (autoscaler_) autoscaler_->set_catalogue(ctx_.catalogue);
}

// Unlike transactions on the state store, requests to the cloud can't be made conditional on the leader's
// role, so the role has to have been read since the last pause of this process.
bool AutoscalerService::may_scale() {
  return leadership_.leader_role_condition() && ctx_.roles_read_since_pause();
}

void AutoscalerService::run() {
  if (!may_scale()) return;
  rent();
  delete_failed_instances();
  release_idle_instances();
}

void AutoscalerService::rent() {
  if (!may_scale()) return;
  auto now = ctx_.now();
  auto request = autoscaler_->rent(leadership_.scheduler().demand(now), now);
  if (!request) return;
  auto done = [this, request = *request,
               term = leadership_.term()](const cloud::CloudClient::RentResult& rented) {
    if (leadership_.is_leader_under(term)) on_rent_result(request, rented);
  };
  ctx_.cloud->rent_machines(*request, std::move(done));
}

void AutoscalerService::on_rent_result(const protocol::RentRequest& request,
                                       const cloud::CloudClient::RentResult& rented) {
  if (rented) {
    autoscaler_->on_instances_rented(request, *rented, ctx_.now());
    rent();  // without waiting for the next tick, since machines take long to start
    return;
  }
  switch (rented.error()) {
    case cloud::CloudError::kNoCapacity:
    case cloud::CloudError::kRejected:
      autoscaler_->on_rent_refused(request, ctx_.now());
      rent();
      return;
    case cloud::CloudError::kOutcomeUnknown:
      autoscaler_->on_rent_unanswered(ctx_.now());
      return;
  }
}

void AutoscalerService::delete_failed_instances() {
  auto failed = autoscaler_->failed_instances(ctx_.now());
  if (failed.empty()) return;
  ctx_.cloud->delete_machines(failed, [this, failed](const cloud::CloudClient::DeleteResult& deleted) {
    if (!deleted || stopped_) return;
    messenger_.broadcast(protocol::TerminatedMachines{failed});
    shards_.on_machines_terminated(failed);
  });
}

void AutoscalerService::release_idle_instances() {
  const auto& scheduler = leadership_.scheduler();
  auto idle = autoscaler_->idle_instances(scheduler.summaries(), !scheduler.demand(ctx_.now()).empty(),
                                          scheduler.has_open_jobs());
  if (idle.empty()) return;
  messenger_.broadcast(protocol::ReleaseMachines{idle});
  shards_.on_release_machines(idle);
}

// A list of thousands of machines has many pages and takes longer than a tick. Concurrent lists would compete
// for the cloud's rate limit and none would complete. After each list, as much time as it took is left for
// rentals and deletions.
void AutoscalerService::list_machines() {
  const auto started_at = ctx_.now();
  if (!autoscaler_ || list_pending_ || (next_list_allowed_at_ && started_at < *next_list_allowed_at_)) return;
  list_pending_ = true;
  ctx_.cloud->list_machines([this, started_at](cloud::CloudClient::ListResult machines) {
    list_pending_ = false;
    auto now = ctx_.now();
    next_list_allowed_at_ = now + (now - started_at);
    if (autoscaler_ && machines) autoscaler_->on_instance_list(std::move(*machines), now);
  });
}

}  // namespace beaconsill::controller
