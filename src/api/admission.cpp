#include "api/admission.h"

#include <algorithm>

#include "part/estimator.h"

namespace beaconsill::api {

const JobId* first_unknown(const wire::JobSpec& spec, const std::function<bool(const JobId&)>& known) {
  for (const auto& awaited : spec.awaits)
    if (!known(awaited)) return &awaited;
  return nullptr;
}

Verdict admit(const wire::JobSpec& spec, const config::Settings& settings, const wire::Catalogue* catalogue) {
  using Kind = Verdict::Kind;
  const auto* team = settings.team(spec.team);
  if (!team) return {Kind::kNever, "unknown team"};
  double n = spec.kind == JobKind::kArray ? 1 : spec.tasks;
  if (team->cpus_max > 0 && spec.each.cpus * n > team->cpus_max + 1e-6)
    return {Kind::kNever, "needs more CPUs than the team's limit"};
  if (team->gpus_max > 0 && spec.each.gpus * n > team->gpus_max + 1e-6)
    return {Kind::kNever, "needs more GPUs than the team's limit"};
  if (!catalogue) return {Kind::kNotYet, "machine types not known yet"};
  auto shape = part::shape_of(spec, 1);
  bool fits = std::any_of(catalogue->begin(), catalogue->end(), [&](const auto& t) {
    bool zone = std::any_of(t.second.zones.begin(), t.second.zones.end(),
                            [&](const auto& z) { return part::allowed(shape, t.first, z, false); });
    return zone && part::fits(t.second.total, spec.each) > 0;
  });
  if (!fits) return {Kind::kNever, "fits no allowed machine type"};
  return {};
}

}  // namespace beaconsill::api
