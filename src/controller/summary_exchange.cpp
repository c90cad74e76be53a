#include "controller/summary_exchange.h"

#include <utility>

namespace beaconsill::controller {

SummaryExchange::SummaryExchange(ControllerContext& ctx, PeerMessenger& messenger, ShardService& shards,
                                 SchedulerService& scheduler)
    : ctx_(ctx),
      messenger_(messenger),
      shards_(shards),
      scheduler_(scheduler),
      timer_(ctx.io_context, [this] { send(); }) {}

void SummaryExchange::start() {
  timer_.start(ctx_.policy.summary_period);
}

void SummaryExchange::stop() {
  timer_.stop();
}

void SummaryExchange::send() {
  for (auto& summary : shards_.summaries()) {
    scheduler_.on_summary(summary);
    for (auto& page : protocol::split_into_pages(std::move(summary))) messenger_.broadcast(std::move(page));
  }
}

void SummaryExchange::on_page(const ControllerName& from, const protocol::Summary& page) {
  auto summary = assemblers_[from].add(page);
  if (!summary) return;
  auto& counts = peer_running_tasks_[summary->shard];
  counts.clear();
  for (const auto& count : summary->running) counts[count.job] = count.running;
  scheduler_.on_summary(*summary);
}

std::uint32_t SummaryExchange::running(const JobId& id) const {
  std::uint32_t running = shards_.count_running_tasks(id);
  for (const auto& [shard, counts] : peer_running_tasks_) {
    if (shards_.leads(shard)) continue;
    if (auto it = counts.find(id); it != counts.end()) running += it->second;
  }
  return running;
}

}  // namespace beaconsill::controller
