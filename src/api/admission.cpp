#include "api/admission.h"

#include <algorithm>

#include "shard/estimator.h"

namespace beaconsill::api {
namespace {

// Rounding errors of sums of resources.
constexpr double kTolerance = 1e-6;

// `limit`: 0 for none.
bool exceeds(double needed, double limit) {
  return limit > 0 && needed > limit + kTolerance;
}

// Whether a task fits a machine of this type in some zone that it may use.
bool fits_type(const protocol::JobSpec& spec, const protocol::TypeInfo& info, const MachineType& type) {
  const auto request = shard::request_of(spec, 1);
  const bool allowed = std::any_of(info.zones.begin(), info.zones.end(), [&](const Zone& zone) {
    return shard::is_allowed(request, type, zone, false);
  });
  return allowed && shard::tasks_that_fit(info.total, spec.each) > 0;
}

}  // namespace

const JobId* first_unknown_dependency(const protocol::JobSpec& spec,
                                      const std::function<bool(const JobId&)>& known) {
  for (const auto& dependency : spec.depends_on)
    if (!known(dependency)) return &dependency;
  return nullptr;
}

AdmissionResult admit(const protocol::JobSpec& spec, const config::Settings& settings,
                      const protocol::Catalogue* catalogue) {
  using Kind = AdmissionResult::Kind;
  const auto* team = settings.find_team(spec.team);
  if (!team) return {Kind::kNever, "unknown team"};
  // Tasks that run at the same time, at least.
  const double tasks = spec.kind == JobKind::kArray ? 1 : spec.tasks;
  if (exceeds(spec.each.cpus * tasks, team->cpus_max))
    return {Kind::kNever, "needs more CPUs than the team's limit"};
  if (exceeds(spec.each.gpus * tasks, team->gpus_max))
    return {Kind::kNever, "needs more GPUs than the team's limit"};
  if (!catalogue) return {Kind::kNotYet, "machine types not known yet"};
  const bool fits = std::any_of(catalogue->begin(), catalogue->end(), [&](const auto& entry) {
    return fits_type(spec, entry.second, entry.first);
  });
  if (!fits) return {Kind::kNever, "fits no allowed machine type"};
  return {};
}

}  // namespace beaconsill::api
