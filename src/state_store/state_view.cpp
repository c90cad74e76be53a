#include "state_store/state_view.h"

#include <algorithm>
#include <charconv>

#include "base/log.h"

namespace beaconsill::state_store {
namespace {

std::optional<std::uint32_t> number(std::string_view s) {
  std::uint32_t n = 0;
  auto [p, ec] = std::from_chars(s.data(), s.data() + s.size(), n);
  if (ec != std::errc() || p != s.data() + s.size()) return std::nullopt;
  return n;
}

// Splits "a/b" at the first slash.
std::pair<std::string_view, std::string_view> split(std::string_view s) {
  auto slash = s.find('/');
  if (slash == std::string_view::npos) return {s, {}};
  return {s.substr(0, slash), s.substr(slash + 1)};
}

template <class T, class Parse>
bool update(Versioned<T>& granted_task, const protocol::Change& c, Parse parse) {
  if (c.version <= granted_task.version) return false;
  if (c.value) {
    granted_task.value = parse(*c.value);
    granted_task.version = c.version;
  } else {
    granted_task = {};
  }
  return true;
}

}  // namespace

Ranges released_tasks(const Progress& p, Generation g) {
  for (const auto& r : p.released)
    if (r.generation == g) return r.tasks;
  return {};
}

Ranges Job::done() const {
  Ranges r;
  for (const auto& [shard, p] : progress) r.add(p.value.done);
  return r;
}

Ranges Job::outstanding(ShardId shard) const {
  Ranges out;
  auto it = progress.find(shard);
  for (const auto& c : grants.value.chunks) {
    if (c.shard != shard) continue;
    Ranges r = c.tasks;
    if (it != progress.end()) r.remove(released_tasks(it->second.value, c.generation));
    out.add(r);
  }
  if (!out.empty()) out.remove(done());
  return out;
}

Ranges Job::outstanding() const {
  Ranges out;
  for (const auto& c : grants.value.chunks) {
    Ranges r = c.tasks;
    auto it = progress.find(c.shard);
    if (it != progress.end()) r.remove(released_tasks(it->second.value, c.generation));
    out.add(r);
  }
  out.remove(done());
  return out;
}

const Job* StateView::job(const JobId& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() || !it->second.whole ? nullptr : &it->second;
}

const StateView::DependencyKeys& StateView::dependency_keys(const JobId& id) const {
  static const DependencyKeys kNone;
  auto it = dependency_keys_.find(id);
  return it == dependency_keys_.end() ? kNone : it->second;
}

const Versioned<TerminalRecord>& StateView::terminal_record(const JobId& id) const {
  static const Versioned<TerminalRecord> kNone;
  auto it = ends_.find(id);
  return it == ends_.end() ? kNone : it->second;
}

std::optional<TerminalState> StateView::end(const JobId& id) const {
  const auto& e = terminal_record(id);
  if (e.exists()) return e.value.end;
  if (dependencies_.cancelled_by(id)) return TerminalState::kCancelled;
  return std::nullopt;
}

Revision StateView::terminal_revision(const JobId& id) const {
  const auto& own = terminal_record(id);
  if (own.exists()) return own.version;
  const auto* root = dependencies_.cancelled_by(id);
  return root ? terminal_record(*root).version : Revision();
}

const Versioned<Role>& StateView::shard_role(ShardId shard) const {
  static const Versioned<Role> kNone;
  auto it = shards_.find(shard);
  return it == shards_.end() ? kNone : it->second;
}

bool StateView::alive(const ControllerName& controller) const {
  return alive_version(controller).value() != 0;
}

Revision StateView::alive_version(const ControllerName& controller) const {
  auto it = alive_.find(controller);
  return it == alive_.end() ? Revision() : it->second.revision;
}

std::optional<std::uint32_t> StateView::advertised_version(const ControllerName& controller) const {
  auto it = alive_.find(controller);
  if (it == alive_.end() || it->second.revision.value() == 0) return std::nullopt;
  return it->second.shows;
}

bool StateView::all_support(std::uint32_t version, const std::vector<ControllerName>& controllers) const {
  return std::all_of(controllers.begin(), controllers.end(), [&](const ControllerName& controller) {
    auto shown = versions_.value.find(controller);
    if (shown == versions_.value.end() || shown->second < version) return false;
    return advertised_version(controller).value_or(version) >= version;
  });
}

const StateView::Registry& StateView::registry(ShardId shard) const {
  static const Registry kNone;
  auto it = machines_.find(shard);
  return it == machines_.end() ? kNone : it->second;
}

const Versioned<std::vector<MachineRecord>>& StateView::machines(ShardId shard, std::uint32_t key) const {
  static const Versioned<std::vector<MachineRecord>> kNone;
  const auto& keys = registry(shard);
  auto it = keys.find(key);
  return it == keys.end() ? kNone : it->second;
}

// Found by reading the code: a leader that kept jobs which were dropped while it couldn't read would grant
// their tasks again and again, and each such transaction fails with all that it holds.
void StateView::clear() {
  for (const auto& [id, job] : jobs_) dispatch_queue_.jobs.insert(id);
  for (const auto& [id, end] : ends_) dispatch_queue_.jobs.insert(id);
  for (const auto& [shard, registry] : machines_) dispatch_queue_.machines.insert(shard);
  dispatch_queue_.roles = true;
  complete_to_ = {};
  jobs_.clear();
  dependency_keys_.clear();
  ends_.clear();
  cancelled_.clear();
  dependencies_.clear();
  shards_.clear();
  leader_ = {};
  alive_.clear();
  versions_ = {};
  machines_.clear();
}

StateView::ChangeSet StateView::take_changes() {
  return std::exchange(dispatch_queue_, {});
}

// The protocol promises no order within an answer, and its example lists a deletion after a newer change.
void StateView::apply_all(std::vector<protocol::Change> changes) {
  std::stable_sort(changes.begin(), changes.end(),
                   [](const auto& a, const auto& b) { return a.version < b.version; });
  for (const auto& c : changes) apply(c);
}

void StateView::apply(const protocol::Change& c) {
  // Found by reading the code: the late answer to an own transaction brought back a key that a read had
  // already seen deleted, for good.
  if (c.version <= complete_to_) return;
  if (!c.key.starts_with(kPrefix)) return;
  auto [kind, rest] = split(std::string_view(c.key).substr(kPrefix.size()));
  try {
    if (kind == "jobs" || kind == "grants") {
      apply_job(JobId(std::string(rest)), c);
    } else if (kind == "progress") {
      apply_job(JobId(std::string(split(rest).second)), c);
    } else if (kind == "awaits") {
      auto [job, piece] = split(rest);
      if (auto n = number(piece)) apply_dependencies(JobId(std::string(job)), *n, c);
    } else if (kind == "ends") {
      apply_end(JobId(std::string(rest)), c);
    } else if (kind == "roles") {
      auto [role, name] = split(rest);
      if (role == "leader") {
        dispatch_queue_.roles |= update(leader_, c, parse_role);
      } else if (auto n = number(name); role == "part" && n) {
        dispatch_queue_.roles |= update(shards_[ShardId(*n)], c, parse_role);
      }
    } else if (kind == "alive") {
      auto& alive = alive_[ControllerName(std::string(rest))];
      if (c.version > alive.revision) {
        alive = c.value ? Alive{c.version, parse_alive(*c.value)} : Alive{};
        dispatch_queue_.roles = true;
      }
    } else if (kind == "versions") {
      dispatch_queue_.roles |= update(versions_, c, parse_versions);
    } else if (kind == "machines") {
      auto [shard, bucket] = split(rest);
      auto p = number(shard), b = number(bucket);
      if (p && b && update(machines_[ShardId(*p)][*b], c, parse_machines))
        dispatch_queue_.machines.insert(ShardId(*p));
    }
  } catch (const protocol::ProtocolError& e) {
    spdlog::error("state service: value of {} not understood: {}", c.key, e.what());
  }
  for (auto& id : dependencies_.take_changed()) dispatch_queue_.jobs.insert(std::move(id));
}

void StateView::apply_end(const JobId& id, const protocol::Change& c) {
  auto& granted_task = ends_[id];
  auto entry = [&] { return protocol::CancelledJob{granted_task.version, id, granted_task.value.done}; };
  auto before = entry();
  if (update(granted_task, c, parse_terminal_record) && granted_task.exists())
    dependencies_.on_end(id, granted_task.value);
  if (granted_task.version != before.revision) cancelled_.erase(before);
  if (granted_task.exists() && granted_task.value.end == TerminalState::kCancelled)
    cancelled_.insert(entry());
  if (!granted_task.exists()) ends_.erase(id);
  dispatch_queue_.jobs.insert(id);
}

void StateView::apply_job(const JobId& id, const protocol::Change& c) {
  auto [kind, rest] = split(std::string_view(c.key).substr(kPrefix.size()));
  auto& job = jobs_[id];
  if (kind == "jobs") {
    if (c.version > job.created) apply_record(id, job, c);
  } else if (kind == "grants") {
    update(job.grants, c, parse_grants);
  } else if (auto shard = number(split(rest).first)) {
    auto& p = job.progress[ShardId(*shard)];
    update(p, c, parse_progress);
    if (!p.exists()) job.progress.erase(ShardId(*shard));
  }
  if (!job.record.spec && !job.grants.exists() && job.progress.empty()) jobs_.erase(id);
  dispatch_queue_.jobs.insert(id);
}

void StateView::apply_record(const JobId& id, Job& job, const protocol::Change& c) {
  job.record = c.value ? parse_job_record(*c.value) : JobRecord{};
  job.created = c.value ? c.version : Revision();
  job.whole = false;
  if (job.record.spec) {
    complete(id, job);
  } else {
    dependencies_.on_record_dropped(id);
  }
}

void StateView::apply_dependencies(const JobId& id, std::uint32_t piece, const protocol::Change& c) {
  auto& keys = dependency_keys_[id];
  update(keys[piece], c, parse_dependency_piece);
  if (!keys[piece].exists()) keys.erase(piece);
  if (keys.empty()) dependency_keys_.erase(id);
  dispatch_queue_.jobs.insert(id);
  if (auto job = jobs_.find(id); job != jobs_.end() && job->second.record.spec) complete(id, job->second);
}

// Pages are read one after the other, so a record may come before keys that were written earlier.
void StateView::complete(const JobId& id, Job& job) {
  if (job.whole) return;
  const auto keys = job.record.dependency_keys;
  if (keys > 0) {
    auto spec = *job.record.spec;
    const auto& pieces = dependency_keys(id);
    for (std::uint32_t k = 0; k < keys; ++k) {
      auto piece = pieces.find(k);
      if (piece == pieces.end()) return;
      const auto& depends_on = piece->second.value.depends_on;
      spec.depends_on.insert(spec.depends_on.end(), depends_on.begin(), depends_on.end());
    }
    job.record.spec = std::make_shared<const protocol::JobSpec>(std::move(spec));
  }
  job.whole = true;
  dependencies_.on_record(id, job.record.spec->depends_on, [this](const JobId& dependency) {
    const auto& e = terminal_record(dependency);
    return e.exists() ? &e.value : nullptr;
  });
}

}  // namespace beaconsill::state_store
