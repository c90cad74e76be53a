#include "api/admission.h"

#include <algorithm>

#include "shard/estimator.h"

namespace beaconsill::api {

const JobId* first_unknown_dependency(const protocol::JobSpec& spec,
                                      const std::function<bool(const JobId&)>& known) {
  for (const auto& dependency : spec.depends_on)
    if (!known(dependency)) return &dependency;
  return nullptr;
}

AdmissionResult admit(const protocol::JobSpec& spec, const config::Settings& settings,
                      const protocol::Catalogue* catalogue) {
  using Kind = AdmissionResult::Kind;
  const auto* team = settings.team(spec.team);
  if (!team) return {Kind::kNever, "unknown team"};
  double n = spec.kind == JobKind::kArray ? 1 : spec.tasks;
  if (team->cpus_max > 0 && spec.each.cpus * n > team->cpus_max + 1e-6)
    return {Kind::kNever, "needs more CPUs than the team's limit"};
  if (team->gpus_max > 0 && spec.each.gpus * n > team->gpus_max + 1e-6)
    return {Kind::kNever, "needs more GPUs than the team's limit"};
  if (!catalogue) return {Kind::kNotYet, "machine types not known yet"};
  auto resource_request = shard::request_of(spec, 1);
  bool fits = std::any_of(catalogue->begin(), catalogue->end(), [&](const auto& t) {
    bool zone = std::any_of(t.second.zones.begin(), t.second.zones.end(), [&](const auto& z) {
      return shard::allowed(resource_request, t.first, z, false);
    });
    return zone && shard::fits(t.second.total, spec.each) > 0;
  });
  if (!fits) return {Kind::kNever, "fits no allowed machine type"};
  return {};
}

}  // namespace beaconsill::api
