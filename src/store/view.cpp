#include "store/view.h"

#include <algorithm>
#include <charconv>

#include "base/log.h"

namespace beaconsill::store {
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
bool update(Versioned<T>& slot, const wire::Change& c, Parse parse) {
  if (c.version <= slot.version) return false;
  if (c.value) {
    slot.value = parse(*c.value);
    slot.version = c.version;
  } else {
    slot = {};
  }
  return true;
}

}  // namespace

Ranges given_back(const Progress& p, Generation g) {
  for (const auto& r : p.returned)
    if (r.generation == g) return r.tasks;
  return {};
}

Ranges Job::done() const {
  Ranges r;
  for (const auto& [part, p] : progress) r.add(p.value.done);
  return r;
}

Ranges Job::outstanding(PartId part) const {
  Ranges out;
  auto it = progress.find(part);
  for (const auto& c : grants.value.chunks) {
    if (c.part != part) continue;
    Ranges r = c.tasks;
    if (it != progress.end()) r.remove(given_back(it->second.value, c.generation));
    out.add(r);
  }
  if (!out.empty()) out.remove(done());
  return out;
}

Ranges Job::outstanding() const {
  Ranges out;
  for (const auto& c : grants.value.chunks) {
    Ranges r = c.tasks;
    auto it = progress.find(c.part);
    if (it != progress.end()) r.remove(given_back(it->second.value, c.generation));
    out.add(r);
  }
  out.remove(done());
  return out;
}

const Job* View::job(const JobId& id) const {
  auto it = jobs_.find(id);
  return it == jobs_.end() || !it->second.whole ? nullptr : &it->second;
}

const View::AwaitsKeys& View::awaits_keys(const JobId& id) const {
  static const AwaitsKeys kNone;
  auto it = awaits_.find(id);
  return it == awaits_.end() ? kNone : it->second;
}

const Versioned<Ending>& View::ending(const JobId& id) const {
  static const Versioned<Ending> kNone;
  auto it = ends_.find(id);
  return it == ends_.end() ? kNone : it->second;
}

std::optional<End> View::end(const JobId& id) const {
  const auto& e = ending(id);
  if (e.exists()) return e.value.end;
  if (dependencies_.cancelled_by(id)) return End::kCancelled;
  return std::nullopt;
}

Revision View::ended_by(const JobId& id) const {
  const auto& own = ending(id);
  if (own.exists()) return own.version;
  const auto* root = dependencies_.cancelled_by(id);
  return root ? ending(*root).version : Revision();
}

const Versioned<Role>& View::part_role(PartId part) const {
  static const Versioned<Role> kNone;
  auto it = parts_.find(part);
  return it == parts_.end() ? kNone : it->second;
}

bool View::alive(const NodeName& node) const {
  return alive_version(node).value() != 0;
}

Revision View::alive_version(const NodeName& node) const {
  auto it = alive_.find(node);
  return it == alive_.end() ? Revision() : it->second.revision;
}

std::optional<std::uint32_t> View::alive_shows(const NodeName& node) const {
  auto it = alive_.find(node);
  if (it == alive_.end() || it->second.revision.value() == 0) return std::nullopt;
  return it->second.shows;
}

bool View::all_know(std::uint32_t version, const std::vector<NodeName>& nodes) const {
  return std::all_of(nodes.begin(), nodes.end(), [&](const NodeName& node) {
    auto shown = versions_.value.find(node);
    if (shown == versions_.value.end() || shown->second < version) return false;
    return alive_shows(node).value_or(version) >= version;
  });
}

const View::Registry& View::registry(PartId part) const {
  static const Registry kNone;
  auto it = machines_.find(part);
  return it == machines_.end() ? kNone : it->second;
}

const Versioned<std::vector<MachineRecord>>& View::machines(PartId part, std::uint32_t key) const {
  static const Versioned<std::vector<MachineRecord>> kNone;
  const auto& keys = registry(part);
  auto it = keys.find(key);
  return it == keys.end() ? kNone : it->second;
}

// Found by reading the code: a leader that kept jobs which were dropped while it couldn't read would grant
// their tasks again and again, and each such transaction fails with all that it holds.
void View::clear() {
  for (const auto& [id, job] : jobs_) touched_.jobs.insert(id);
  for (const auto& [id, end] : ends_) touched_.jobs.insert(id);
  for (const auto& [part, registry] : machines_) touched_.machines.insert(part);
  touched_.roles = true;
  complete_to_ = {};
  jobs_.clear();
  awaits_.clear();
  ends_.clear();
  cancelled_.clear();
  dependencies_.clear();
  parts_.clear();
  leader_ = {};
  alive_.clear();
  versions_ = {};
  machines_.clear();
}

View::Touched View::take_touched() {
  return std::exchange(touched_, {});
}

// The protocol promises no order within an answer, and its example lists a deletion after a newer change.
void View::apply_all(std::vector<wire::Change> changes) {
  std::stable_sort(changes.begin(), changes.end(),
                   [](const auto& a, const auto& b) { return a.version < b.version; });
  for (const auto& c : changes) apply(c);
}

void View::apply(const wire::Change& c) {
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
      if (auto n = number(piece)) apply_awaits(JobId(std::string(job)), *n, c);
    } else if (kind == "ends") {
      apply_end(JobId(std::string(rest)), c);
    } else if (kind == "roles") {
      auto [role, name] = split(rest);
      if (role == "leader") {
        touched_.roles |= update(leader_, c, parse_role);
      } else if (auto n = number(name); role == "part" && n) {
        touched_.roles |= update(parts_[PartId(*n)], c, parse_role);
      }
    } else if (kind == "alive") {
      auto& alive = alive_[NodeName(std::string(rest))];
      if (c.version > alive.revision) {
        alive = c.value ? Alive{c.version, parse_alive(*c.value)} : Alive{};
        touched_.roles = true;
      }
    } else if (kind == "versions") {
      touched_.roles |= update(versions_, c, parse_versions);
    } else if (kind == "machines") {
      auto [part, bucket] = split(rest);
      auto p = number(part), b = number(bucket);
      if (p && b && update(machines_[PartId(*p)][*b], c, parse_machines))
        touched_.machines.insert(PartId(*p));
    }
  } catch (const wire::WireError& e) {
    spdlog::error("state service: value of {} not understood: {}", c.key, e.what());
  }
  for (auto& id : dependencies_.take_changed()) touched_.jobs.insert(std::move(id));
}

void View::apply_end(const JobId& id, const wire::Change& c) {
  auto& slot = ends_[id];
  auto entry = [&] { return wire::CancelledJob{slot.version, id, slot.value.done}; };
  auto before = entry();
  if (update(slot, c, parse_ending) && slot.exists()) dependencies_.on_end(id, slot.value);
  if (slot.version != before.revision) cancelled_.erase(before);
  if (slot.exists() && slot.value.end == End::kCancelled) cancelled_.insert(entry());
  if (!slot.exists()) ends_.erase(id);
  touched_.jobs.insert(id);
}

void View::apply_job(const JobId& id, const wire::Change& c) {
  auto [kind, rest] = split(std::string_view(c.key).substr(kPrefix.size()));
  auto& job = jobs_[id];
  if (kind == "jobs") {
    if (c.version > job.created) apply_record(id, job, c);
  } else if (kind == "grants") {
    update(job.grants, c, parse_grants);
  } else if (auto part = number(split(rest).first)) {
    auto& p = job.progress[PartId(*part)];
    update(p, c, parse_progress);
    if (!p.exists()) job.progress.erase(PartId(*part));
  }
  if (!job.record.spec && !job.grants.exists() && job.progress.empty()) jobs_.erase(id);
  touched_.jobs.insert(id);
}

void View::apply_record(const JobId& id, Job& job, const wire::Change& c) {
  job.record = c.value ? parse_job_record(*c.value) : JobRecord{};
  job.created = c.value ? c.version : Revision();
  job.whole = false;
  if (job.record.spec) {
    complete(id, job);
  } else {
    dependencies_.on_record_dropped(id);
  }
}

void View::apply_awaits(const JobId& id, std::uint32_t piece, const wire::Change& c) {
  auto& keys = awaits_[id];
  update(keys[piece], c, parse_awaits_piece);
  if (!keys[piece].exists()) keys.erase(piece);
  if (keys.empty()) awaits_.erase(id);
  touched_.jobs.insert(id);
  if (auto job = jobs_.find(id); job != jobs_.end() && job->second.record.spec) complete(id, job->second);
}

// Pages are read one after the other, so a record may come before keys that were written earlier.
void View::complete(const JobId& id, Job& job) {
  if (job.whole) return;
  const auto keys = job.record.awaits_keys;
  if (keys > 0) {
    auto spec = *job.record.spec;
    const auto& pieces = awaits_keys(id);
    for (std::uint32_t k = 0; k < keys; ++k) {
      auto piece = pieces.find(k);
      if (piece == pieces.end()) return;
      const auto& awaits = piece->second.value.awaits;
      spec.awaits.insert(spec.awaits.end(), awaits.begin(), awaits.end());
    }
    job.record.spec = std::make_shared<const wire::JobSpec>(std::move(spec));
  }
  job.whole = true;
  dependencies_.on_record(id, job.record.spec->awaits, [this](const JobId& awaited) {
    const auto& e = ending(awaited);
    return e.exists() ? &e.value : nullptr;
  });
}

}  // namespace beaconsill::store
