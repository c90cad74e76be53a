#include "scheduler/job_table.h"

namespace beaconsill::scheduler {

JobEntry* JobTable::find(const JobId& id) {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

const JobEntry* JobTable::find(const JobId& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

void JobTable::index(const JobId& id, const JobEntry& entry) {
  if (entry.terminal_state) {
    if (entry.outstanding_tasks == 0) collectable_.insert(id);
    return;
  }
  open_.insert(id);
  if (!entry.pending.empty()) waiting_.insert(id);
  if (entry.is_service()) return;
  batch_.insert(id);
  if (entry.done.count() == entry.spec().tasks) completed_.insert(id);
}

void JobTable::unindex(const JobId& id) {
  for (auto* jobs : {&waiting_, &batch_, &open_, &completed_, &collectable_}) jobs->erase(id);
}

}  // namespace beaconsill::scheduler
