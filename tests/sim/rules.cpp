#include "sim/rules.h"

#include "store/records.h"

namespace beaconsill::sim {

void Rules::broke(const std::string& rule, const std::string& what) {
  if (outcome_.broken[rule]++ == 0)
    outcome_.first = rule + " at " + std::to_string(queue_.now()) + ": " + what;
}

void Rules::on_begin(const Machine& m, const TaskId& task, const Job& job) {
  double now = queue_.now();
  auto text = wire::task_name(task) + " on " + m.name.value();
  double used = 0;
  for (const auto& [name, other] : books_.machines) {
    if (other.gone || now - other.lease_from > kLease) continue;
    for (const auto& [key, t] : other.tasks) {
      if (!t.running || t.ended) continue;
      const auto& j = books_.jobs.at(key.first.job);
      bool over = now >= other.hangs_until && j.spec->kind == JobKind::kArray && now >= t.ends;
      if (over) continue;  // ended, though the stand-in hasn't looked at it yet
      if (j.spec->team == job.spec->team) used += j.spec->each.cpus;
      if (&other != &m && key.first == task) broke("ran_twice", text + " and " + other.name.value());
    }
  }
  if (used > kTeamCpus + 1e-6) broke("quota", text + ": " + std::to_string(used));
  if (job.spec->zone && *job.spec->zone != m.zone) broke("wrong_place", text);
  if (job.cancelled && now > *job.cancelled + kCancelLimit) broke("ran_cancelled", text + " started");
}

void Rules::on_written(const wire::Write& w) {
  const std::string ends = std::string(store::kPrefix) + "ends/";
  if (!w.key.starts_with(ends)) return;
  if (!w.value) return broke("went_back", w.key);
  const auto& job = books_.jobs.at(JobId(w.key.substr(ends.size())));
  auto end = store::parse_ending(*w.value).end;
  if (end != store::End::kDone) return;
  advance_();
  if (job.done.size() < job.spec->tasks) broke("not_done", w.key + " " + std::to_string(job.done.size()));
}

void Rules::look() {
  advance_();
  for (const auto& [id, j] : books_.jobs) {
    if (!j.cancelled || queue_.now() <= *j.cancelled + kCancelLimit) continue;
    for (const auto& [name, m] : books_.machines)
      for (const auto& [key, t] : m.tasks)
        if (key.first.job == id && !m.gone && t.running && !t.ended)
          broke("ran_cancelled", wire::task_name(key.first) + " on " + name.value());
  }
}

bool Rules::satisfied(const JobId& id, const Job& job, const StateService& state) const {
  if (!job.accepted) return false;
  bool over = state.find(store::end_key(id)) != nullptr;
  std::set<std::uint32_t> running;
  for (const auto& [name, m] : books_.machines)
    for (const auto& [key, t] : m.tasks)
      if (key.first.job == id && !m.gone && t.running && !t.ended) running.insert(key.first.index);
  if (over) return running.empty();
  return job.spec->kind == JobKind::kService && running.size() == job.spec->tasks;
}

}  // namespace beaconsill::sim
