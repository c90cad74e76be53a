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

// Requests to the cloud carry no condition on the leader's role.
bool AutoscalerService::may_act() {
  return leadership_.still_leader() && ctx_.roles_read_since_pause();
}

void AutoscalerService::run() {
  if (!may_act()) return;
  rent();
  delete_failed_instances();
  release_idle_instances();
}

void AutoscalerService::rent() {
  if (!may_act()) return;
  auto now = ctx_.now();
  auto request = autoscaler_->rent(leadership_.scheduler().demand(now), now);
  if (!request) return;
  auto done = [this, request = *request,
               term = leadership_.term()](const cloud::CloudClient::RentResult& names) {
    if (leadership_.is_leader_under(term)) on_rent_result(request, names);
  };
  ctx_.cloud->rent_machines(*request, std::move(done));
}

void AutoscalerService::on_rent_result(const protocol::RentRequest& request,
                                       const cloud::CloudClient::RentResult& names) {
  if (names) {
    autoscaler_->on_scale_out_result(request, *names, ctx_.now());
    rent();  // the next at once: machines take long enough to come up
    return;
  }
  switch (names.error()) {
    case cloud::CloudError::kNoCapacity:
    case cloud::CloudError::kRejected:
      autoscaler_->on_refused(request, ctx_.now());
      rent();
      return;
    case cloud::CloudError::kOutcomeUnknown:
      autoscaler_->on_unanswered(ctx_.now());
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
                                          scheduler.busy());
  if (idle.empty()) return;
  messenger_.broadcast(protocol::ReleaseMachines{idle});
  shards_.on_release(idle);
}

// Thousands of machines are many pages, which take longer than a tick: lists that pile up would all wait in
// vain for the cloud's rate limit. Half of the time is left to rentals and deletions.
void AutoscalerService::list_machines() {
  const auto begun = ctx_.now();
  if (!autoscaler_ || listing_ || (list_not_before_ && begun < *list_not_before_)) return;
  listing_ = true;
  ctx_.cloud->list_machines([this, begun](cloud::CloudClient::ListResult machines) {
    listing_ = false;
    auto now = ctx_.now();
    list_not_before_ = now + (now - begun);
    if (autoscaler_ && machines) autoscaler_->on_list(std::move(*machines), now);
  });
}

}  // namespace beaconsill::controller
