#include "state_store/value_sizes.h"

#include <algorithm>
#include <utility>

#include "state_store/job.h"

namespace beaconsill::state_store {
namespace {

// A span of finished tasks that could be added to a record.
struct Span {
  std::optional<Generation> released;  // none: they are done
  std::uint32_t first = 0;
  std::uint32_t end = 0;
};

void add(Progress& progress, const Span& span) {
  if (!span.released) return progress.done.add_span(span.first, span.end);
  find_or_add_released(progress.released, *span.released).add_span(span.first, span.end);
}

std::vector<Span> spans_of(const Progress& progress) {
  std::vector<Span> spans;
  for (const auto& released : progress.released)
    for (const auto& [first, end] : released.tasks.spans())
      spans.push_back({released.generation, first, end});
  for (const auto& [first, end] : progress.done.spans()) spans.push_back({std::nullopt, first, end});
  return spans;
}

// What is recorded and still wanted.
Progress still_wanted(const Progress& recorded, const Progress& wanted) {
  Progress kept{recorded.done, {}};
  for (const auto& released : recorded.released)
    if (std::any_of(wanted.released.begin(), wanted.released.end(),
                    [&](const ReleasedTasks& tasks) { return tasks.generation == released.generation; }))
      kept.released.push_back(released);
  return kept;
}

// The dependencies of a job, spread over as few values as hold them.
std::vector<DependencySegment> split_dependencies(const JobRecord& record, std::size_t max_bytes) {
  constexpr std::size_t kQuotesAndCommaBytes = 3;
  const auto empty_bytes = value_bytes(to_json(DependencySegment{{}, record.submitted}));
  std::vector<DependencySegment> segments;
  std::size_t bytes = max_bytes + 1;  // the first one begins a segment
  for (const auto& dependency : record.spec->depends_on) {
    const auto more = dependency.value().size() + kQuotesAndCommaBytes;
    if (bytes + more > max_bytes) {
      segments.push_back({{}, record.submitted});
      bytes = empty_bytes;
    }
    bytes += more;
    segments.back().depends_on.push_back(dependency);
  }
  return segments;
}

}  // namespace

std::size_t value_bytes(const protocol::Json& value) {
  return protocol::dump(value).size();
}

Progress fit_progress(const Progress& recorded, const Progress& wanted, std::size_t max_bytes) {
  if (value_bytes(to_json(wanted)) <= max_bytes) return wanted;
  auto fitting = still_wanted(recorded, wanted);
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
  values.depends_on = split_dependencies(values.record, max_bytes);
  values.record.dependency_keys = static_cast<std::uint32_t>(values.depends_on.size());
  if (values.depends_on.empty() || value_bytes(to_json(values.record)) > max_bytes) return std::nullopt;
  return values;
}

}  // namespace beaconsill::state_store
