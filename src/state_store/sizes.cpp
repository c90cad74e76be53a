#include "state_store/sizes.h"

#include <algorithm>

namespace beaconsill::state_store {
namespace {

// A span of finished tasks that could be added to a record.
struct Span {
  std::optional<Generation> released;  // none: they are done
  std::uint32_t first = 0, end = 0;
};

void add(Progress& p, const Span& s) {
  if (!s.released) return p.done.add_span(s.first, s.end);
  auto it = std::find_if(p.released.begin(), p.released.end(),
                         [&](const ReleasedTasks& r) { return r.generation == *s.released; });
  if (it == p.released.end()) it = p.released.insert(it, {*s.released, {}});
  it->tasks.add_span(s.first, s.end);
}

std::vector<Span> spans_of(const Progress& p) {
  std::vector<Span> spans;
  for (const auto& r : p.released)
    for (const auto& [first, end] : r.tasks.spans()) spans.push_back({r.generation, first, end});
  for (const auto& [first, end] : p.done.spans()) spans.push_back({std::nullopt, first, end});
  return spans;
}

}  // namespace

std::size_t value_bytes(const protocol::Json& value) {
  return protocol::dump(value).size();
}

Progress fit_progress(const Progress& recorded, const Progress& wanted, std::size_t max_bytes) {
  if (value_bytes(to_json(wanted)) <= max_bytes) return wanted;
  Progress fitting{recorded.done, {}};
  for (const auto& r : recorded.released)
    if (std::any_of(wanted.released.begin(), wanted.released.end(),
                    [&](const ReleasedTasks& w) { return w.generation == r.generation; }))
      fitting.released.push_back(r);
  const auto spans = spans_of(wanted);
  std::size_t taken = 0;
  for (std::size_t step = spans.size(); step > 0; step /= 2) {
    if (taken + step > spans.size()) continue;
    auto larger = fitting;
    for (std::size_t i = taken; i < taken + step; ++i) add(larger, spans[i]);
    if (value_bytes(to_json(larger)) > max_bytes) continue;
    fitting = std::move(larger);
    taken += step;
  }
  return fitting;
}

bool fit_grants(Grants& grants, Generation recorded, std::size_t max_bytes) {
  auto fits = [&] { return value_bytes(to_json(grants)) <= max_bytes; };
  while (!fits()) {
    if (grants.chunks.empty()) return false;
    auto& last = grants.chunks.back();
    if (last.generation <= recorded || last.gang_attempt.value()) return false;
    auto spans = last.tasks.spans();
    if (spans.size() < 2) {
      grants.chunks.pop_back();
      continue;
    }
    auto middle = std::next(spans.begin(), static_cast<std::ptrdiff_t>(spans.size() / 2));
    last.tasks.remove_span(middle->first, spans.rbegin()->second);
  }
  return !grants.chunks.empty() && grants.chunks.back().generation > recorded;
}

std::optional<JobValues> fit_job(JobRecord record, std::size_t max_bytes) {
  JobValues values{std::move(record), {}};
  if (value_bytes(to_json(values.record)) <= max_bytes) return values;
  const auto empty = value_bytes(to_json(DependencyPiece{{}, values.record.submitted}));
  std::size_t bytes = max_bytes + 1;  // the first one begins a piece
  for (const auto& dependency : values.record.spec->depends_on) {
    auto more = dependency.value().size() + 3;  // quotes and a comma
    if (bytes + more > max_bytes) {
      values.depends_on.push_back({{}, values.record.submitted});
      bytes = empty;
    }
    bytes += more;
    values.depends_on.back().depends_on.push_back(dependency);
  }
  values.record.dependency_keys = static_cast<std::uint32_t>(values.depends_on.size());
  if (values.depends_on.empty() || value_bytes(to_json(values.record)) > max_bytes) return std::nullopt;
  return values;
}

}  // namespace beaconsill::state_store
