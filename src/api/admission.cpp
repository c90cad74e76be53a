#include "api/admission.h"

#include <algorithm>

#include "base/log.h"
#include "shard/estimator.h"

namespace beaconsill::api {
namespace {

// Tolerates rounding errors in sums of resources.
constexpr double kRoundingTolerance = 1e-6;

// Returns whether `needed` is above `limit`. A limit of 0 means that there is none.
bool exceeds(double needed, double limit) {
  return limit > 0 && needed > limit + kRoundingTolerance;
}

// Returns whether a task of the job fits on an empty machine of this type in at least one zone that the job
// may use.
bool task_fits_type(const protocol::JobSpec& spec, const protocol::MachineTypeInfo& info,
                    const MachineType& type) {
  const auto request = shard::request_of(spec, 1);
  const bool allowed = std::any_of(info.zones.begin(), info.zones.end(), [&](const Zone& zone) {
    return shard::is_allowed(request, type, zone, false);
  });
  return allowed && shard::tasks_that_fit(info.total, spec.each) > 0;
}

std::string limit_exceeded(std::string_view resource, double needed, double limit) {
  return fmt::format("needs {} {} at the same time, more than the team's limit of {}", needed, resource,
                     limit);
}

}  // namespace

const JobId* first_unknown_dependency(const protocol::JobSpec& spec,
                                      const std::function<bool(const JobId&)>& is_known) {
  for (const auto& dependency : spec.depends_on)
    if (!is_known(dependency)) return &dependency;
  return nullptr;
}

AdmissionResult admit(const protocol::JobSpec& spec, const config::Settings& settings,
                      const protocol::Catalogue* catalogue) {
  using Kind = AdmissionResult::Kind;
  const auto* team = settings.find_team(spec.team);
  if (!team) return {Kind::kReject, "unknown team " + spec.team.value()};
  // The minimum number of tasks that run at the same time: tasks of an array may run one after the other.
  const double tasks = spec.kind == JobKind::kArray ? 1 : spec.tasks;
  if (exceeds(spec.each.cpus * tasks, team->cpus_max))
    return {Kind::kReject, limit_exceeded("CPUs", spec.each.cpus * tasks, team->cpus_max)};
  if (exceeds(spec.each.gpus * tasks, team->gpus_max))
    return {Kind::kReject, limit_exceeded("GPUs", spec.each.gpus * tasks, team->gpus_max)};
  if (!catalogue) return {Kind::kUndecided, "the machine types are not known yet"};
  const bool fits_some_type = std::any_of(catalogue->begin(), catalogue->end(), [&](const auto& entry) {
    return task_fits_type(spec, entry.second, entry.first);
  });
  if (!fits_some_type) return {Kind::kReject, "no machine type that the job allows can run one of its tasks"};
  return {};
}

}  // namespace beaconsill::api
