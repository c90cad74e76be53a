#include "controller/rate_limit_apportioner.h"

#include <algorithm>

namespace beaconsill::controller {
namespace {
constexpr Duration kPeriod = std::chrono::milliseconds(500);
}  // namespace

RateLimitApportioner::RateLimitApportioner(ControllerContext& ctx, const SchedulerService& scheduler)
    : ctx_(ctx), scheduler_(scheduler), timer_(ctx.io_context, [this] { update(); }) {}

void RateLimitApportioner::start() {
  timer_.start(kPeriod);
}

void RateLimitApportioner::stop() {
  timer_.stop();
}

LiveControllers RateLimitApportioner::live_controllers() const {
  const auto& controllers = ctx_.partitioning.controllers();
  // An incomplete view may not include all live controllers, so all are counted as alive until it is
  // complete.
  if (!ctx_.watch_cache->ready()) return {controllers.size(), false, true};
  auto alive = [this](const ControllerName& name) {
    return name == ctx_.settings.controller || ctx_.view().alive(name);
  };
  LiveControllers live;
  live.alive_count = static_cast<std::size_t>(std::count_if(controllers.begin(), controllers.end(), alive));
  live.is_leader = scheduler_.is_leader();
  const auto& leader = ctx_.view().leader();
  live.has_leader = leader.exists() && ctx_.view().alive(leader.value.controller);
  return live;
}

void RateLimitApportioner::update() {
  auto live = live_controllers();
  auto leader_share_of_requests = std::max(kLeaderShareOfRequests, 1 / static_cast<double>(live.alive_count));
  ctx_.store->set_shares(rate_limit_share(live, leader_share_of_requests),
                         rate_limit_share(live, kLeaderShareOfWrites));
  ctx_.cloud->set_rate(ctx_.settings.cloud_rps * rate_limit_share(live, kLeaderShareOfCloud));
}

}  // namespace beaconsill::controller
