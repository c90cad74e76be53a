#include "scheduler/autoscaler.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "base/log.h"
#include "shard/estimator.h"

namespace beaconsill::scheduler {
namespace {

// A kind of instance isn't requested again for this long after a refusal or a boot timeout.
constexpr Duration kRefusedKindBackoff = std::chrono::seconds(12);
constexpr Duration kRetryDelay = std::chrono::seconds(1);
constexpr Duration kDeleteRetryDelay = std::chrono::seconds(10);
// No instance is rented for demand that has waited for less than this: the existing machines may still have
// capacity for it.
constexpr Duration kMinDemandAge = std::chrono::milliseconds(1500);
// A pending instance counts as late after this many typical boot times of its type.
constexpr double kLateBootFactor = 2.0;
constexpr double kDefaultBootSeconds = 60;  // for machine types without a catalogue entry
// A task counts for at least this many CPUs when CPUs are divided by it to get a number of tasks.
constexpr double kMinTaskCpus = 0.01;
// After a failover, the data in a list is assumed to be at most this many list lags old.
constexpr int kMaxListLagsAfterTakeover = 2;
// A pending instance that isn't listed after this many list lags, plus a margin, is assumed to be gone.
constexpr int kMaxUnlistedLags = 3;
constexpr Duration kUnlistedMargin = std::chrono::seconds(5);

double counted_cpus(const protocol::ResourceRequest& request) {
  return std::max(request.each.cpus, kMinTaskCpus);
}

}  // namespace

Autoscaler::Autoscaler(AutoscalerParams params, std::string prefix)
    : params_(params), request_prefix_(std::move(prefix)) {}

void Autoscaler::on_takeover(Instant now) {
  list_complete_ = false;
  list_complete_at_ = now + params_.list_lag * kMaxListLagsAfterTakeover;
}

double Autoscaler::typical_boot_s(const MachineType& type) const {
  if (!catalogue_) return kDefaultBootSeconds;
  auto entry = catalogue_->find(type);
  return entry == catalogue_->end() ? kDefaultBootSeconds : entry->second.boot_s;
}

bool Autoscaler::is_boot_late(const PendingInstance& instance, Instant now) const {
  return to_seconds(now - instance.rented_at) > typical_boot_s(instance.kind.type) * kLateBootFactor;
}

bool Autoscaler::boot_timed_out(const protocol::ListedMachine& machine) const {
  return machine.state == protocol::MachineState::kBooting &&
         machine.age_s > typical_boot_s(machine.type) * boot_timeouts_.timeout_factor(machine.type);
}

void Autoscaler::on_boot_timeout(const protocol::ListedMachine& machine, Instant now) {
  boot_timeouts_.on_timeout(machine.type);
  // This kind of instance isn't rented for a while, as after a refusal, so that another kind is tried first.
  refused_at_[{machine.type, machine.zone, machine.spot}] = now;
}

void Autoscaler::on_instance_list(std::vector<protocol::ListedMachine> machines, Instant now) {
  if (now >= list_complete_at_) list_complete_ = true;
  listed_.clear();
  for (auto& machine : machines) {
    if (machine.state == protocol::MachineState::kBooting) {
      auto rented_at = now - from_seconds(machine.age_s);
      pending_instances_[machine.name] = {{machine.type, machine.zone, machine.spot}, rented_at};
    } else if (pending_instances_.erase(machine.name) > 0 &&
               machine.state == protocol::MachineState::kRunning) {
      boot_timeouts_.on_running(machine.type, machine.age_s / typical_boot_s(machine.type));
    }
    auto name = machine.name;
    listed_[std::move(name)] = std::move(machine);
  }
  drop_unlisted_pending(now);
  std::erase_if(deletion_requested_at_,
                [&](const auto& deletion) { return now - deletion.second > kDeleteRetryDelay; });
}

void Autoscaler::drop_unlisted_pending(Instant now) {
  std::erase_if(pending_instances_, [&](const auto& pending) {
    return !listed_.contains(pending.first) &&
           now - pending.second.rented_at > params_.list_lag * kMaxUnlistedLags + kUnlistedMargin;
  });
}

Autoscaler::PendingCapacity Autoscaler::pending_capacity(const protocol::ResourceRequest& request,
                                                         Instant now) const {
  PendingCapacity capacity;
  for (const auto& [name, instance] : pending_instances_) {
    const auto& kind = instance.kind;
    auto type = catalogue_->find(kind.type);
    if (type == catalogue_->end() || !shard::is_allowed(request, kind.type, kind.zone, kind.spot)) continue;
    auto tasks = std::min(shard::tasks_that_fit(type->second.total, request.each), params_.task_cap);
    (is_boot_late(instance, now) ? capacity.late : capacity.on_time) += tasks;
  }
  return capacity;
}

// Late capacity counts only as far as it exceeds the needed capacity. It's therefore replaced once, but not
// again and again: while no instance finishes its boot, at most twice the needed capacity is pending.
double Autoscaler::missing_tasks(const protocol::ResourceRequest& request, double reserved_cpus,
                                 Instant now) const {
  double reserved_tasks = reserved_cpus / counted_cpus(request);
  auto pending = pending_capacity(request, now);
  double needed = request.wanted + reserved_tasks;
  double counted_tasks = pending.on_time + std::max(0.0, pending.late - needed);
  return request.wanted - std::max(0.0, counted_tasks - reserved_tasks);
}

bool Autoscaler::is_refused(const InstanceKind& kind, Instant now) const {
  auto refusal = refused_at_.find(kind);
  return refusal != refused_at_.end() && now - refusal->second < kRefusedKindBackoff;
}

std::size_t Autoscaler::count_owned(const InstanceKind& kind) const {
  return static_cast<std::size_t>(std::count_if(listed_.begin(), listed_.end(), [&](const auto& listed) {
    const auto& machine = listed.second;
    return machine.zone == kind.zone && machine.type == kind.type && machine.spot == kind.spot;
  }));
}

std::optional<Autoscaler::RentalOption> Autoscaler::cheapest_option(const protocol::ResourceRequest& request,
                                                                    Instant now) const {
  std::optional<RentalOption> best;
  for (const auto& [name, type] : *catalogue_) {
    auto tasks = std::min(shard::tasks_that_fit(type.total, request.each), params_.task_cap);
    if (tasks == 0) continue;
    for (const auto& zone : type.zones) {
      for (bool spot : {false, true}) {
        InstanceKind kind{name, zone, spot};
        if (!shard::is_allowed(request, name, zone, spot) || is_refused(kind, now)) continue;
        RentalOption option{(spot ? type.spot_price : type.price) / tasks, count_owned(kind), kind, tasks};
        if (!best ||
            std::tie(option.price_per_task, option.owned) < std::tie(best->price_per_task, best->owned))
          best = std::move(option);
      }
    }
  }
  return best;
}

std::optional<protocol::RentRequest> Autoscaler::rent(const std::vector<Demand>& demand, Instant now) {
  if (!catalogue_ || request_sent_ || now < retry_at_ || !list_complete_) return std::nullopt;
  if (open_request_) {
    request_sent_ = true;
    return open_request_;
  }
  // All resource requests share the pending capacity, so each part of it is counted for one request only.
  double reserved_cpus = 0;
  for (std::size_t i = 0; i < demand.size(); ++i) {
    const auto& request = demand[i].resource_request;
    if (demand[i].waited < kMinDemandAge || request.wanted == 0) continue;
    double missing = missing_tasks(request, reserved_cpus, now);
    reserved_cpus += request.wanted * counted_cpus(request);
    if (missing <= 0) continue;
    if (auto option = cheapest_option(request, now)) return open_request(demand, i, *option, missing);
  }
  return std::nullopt;
}

// The request also covers the later entries that may run on the same kind of instance: with a request for
// each waiting job, renting would take as many seconds as there are such jobs. No instance is rented now for
// any earlier entry, usually because the pending capacity is enough for it.
protocol::RentRequest Autoscaler::open_request(const std::vector<Demand>& demand, std::size_t index,
                                               const RentalOption& option, double tasks) {
  const auto& kind = option.kind;
  double cpus_each = counted_cpus(demand[index].resource_request);
  for (std::size_t i = index + 1; i < demand.size(); ++i) {
    const auto& other = demand[i].resource_request;
    if (demand[i].waited >= kMinDemandAge && shard::is_allowed(other, kind.type, kind.zone, kind.spot))
      tasks += other.wanted * other.each.cpus / cpus_each;
  }
  auto count = static_cast<std::uint32_t>(std::clamp(std::ceil(tasks / option.tasks_per_instance), 1.0,
                                                     static_cast<double>(protocol::kMaxRentedPerRequest)));
  open_request_ = protocol::RentRequest{request_prefix_ + std::to_string(next_request_number_++), kind.type,
                                        kind.zone, kind.spot, count};
  request_sent_ = true;
  return *open_request_;
}

void Autoscaler::on_instances_rented(const protocol::RentRequest& request,
                                     const std::vector<MachineName>& names, Instant now) {
  request_sent_ = false;
  open_request_.reset();
  InstanceKind kind{request.type, request.zone, request.spot};
  for (const auto& name : names) pending_instances_[name] = {kind, now};
  if (names.size() < request.count) refused_at_[kind] = now;
  spdlog::info("instances_rented count={} requested={} type={} zone={} spot={}", names.size(), request.count,
               request.type.value(), request.zone.value(), request.spot);
}

void Autoscaler::on_rent_refused(const protocol::RentRequest& request, Instant now) {
  request_sent_ = false;
  open_request_.reset();
  refused_at_[{request.type, request.zone, request.spot}] = now;
}

void Autoscaler::on_rent_unanswered(Instant now) {
  request_sent_ = false;
  retry_at_ = now + kRetryDelay;
}

std::vector<MachineName> Autoscaler::failed_instances(Instant now) {
  std::vector<MachineName> failed;
  if (!catalogue_) return failed;
  for (const auto& [name, machine] : listed_) {
    if (deletion_requested_at_.contains(name) || failed.size() >= protocol::kMaxDeletedPerRequest) continue;
    bool timed_out = boot_timed_out(machine);
    if (machine.state != protocol::MachineState::kFailed && !timed_out) continue;
    if (timed_out) on_boot_timeout(machine, now);
    spdlog::info("instance_failed machine={} reason={}", name.value(), timed_out ? "boot_timeout" : "failed");
    deletion_requested_at_[name] = now;
    pending_instances_.erase(name);
    failed.push_back(name);
  }
  return failed;
}

std::vector<MachineName> Autoscaler::idle_instances(const ShardSummaries& summaries, bool has_demand,
                                                    bool has_open_jobs) const {
  std::vector<MachineName> idle;
  if (has_demand) return idle;
  double idle_timeout_s =
      to_seconds(has_open_jobs ? params_.idle_timeout : params_.idle_timeout_without_jobs);
  for (const auto& [shard, summary] : summaries)
    for (const auto& machine : summary.machines)
      if (machine.usable && machine.idle_s > idle_timeout_s) idle.push_back(machine.name);
  return idle;
}

}  // namespace beaconsill::scheduler
