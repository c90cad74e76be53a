#include "state_store/value_sizes.h"

#include <algorithm>
#include <utility>

#include "state_store/job.h"

namespace beaconsill::state_store {
namespace {

// A range of tasks, from `first` up to but excluding `end`, that could be added to a progress record.
struct Span {
  std::optional<Generation> released;  // the generation under which they are released; nullopt: they are done
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

// Returns the recorded progress without the released tasks of generations that `wanted` no longer contains.
Progress without_obsolete_generations(const Progress& recorded, const Progress& wanted) {
  Progress remaining{recorded.done, {}};
  for (const auto& released : recorded.released)
    if (std::any_of(wanted.released.begin(), wanted.released.end(),
                    [&](const ReleasedTasks& tasks) { return tasks.generation == released.generation; }))
      remaining.released.push_back(released);
  return remaining;
}

// Distributes the dependencies of a job over as few values of at most `max_bytes` as possible.
std::vector<DependencySegment> split_dependencies(const JobRecord& record, std::size_t max_bytes) {
  constexpr std::size_t kQuotesAndCommaBytes = 3;
  const auto empty_bytes = value_bytes(to_json(DependencySegment{{}, record.submitted}));
  std::vector<DependencySegment> segments;
  std::size_t bytes = max_bytes + 1;  // makes the first dependency start a segment
  for (const auto& dependency : record.spec->depends_on) {
    const auto added_bytes = dependency.value().size() + kQuotesAndCommaBytes;
    if (bytes + added_bytes > max_bytes) {
      segments.push_back({{}, record.submitted});
      bytes = empty_bytes;
    }
    bytes += added_bytes;
    segments.back().depends_on.push_back(dependency);
  }
  return segments;
}

}  // namespace

std::size_t value_bytes(const protocol::Json& value) {
  return protocol::dump(value).size();
}

Progress truncate_progress(const Progress& recorded, const Progress& wanted, std::size_t max_bytes) {
  if (value_bytes(to_json(wanted)) <= max_bytes) return wanted;
  auto result = without_obsolete_generations(recorded, wanted);
  const auto spans = spans_of(wanted);
  std::size_t added = 0;  // number of spans that the result contains
  for (std::size_t step = spans.size(); step > 0; step /= 2) {
    if (added + step > spans.size()) continue;
    auto candidate = result;
    for (std::size_t i = added; i < added + step; ++i) add(candidate, spans[i]);
    if (value_bytes(to_json(candidate)) > max_bytes) continue;
    result = std::move(candidate);
    added += step;
  }
  return result;
}

bool truncate_grants(Grants& grants, Generation recorded, std::size_t max_bytes) {
  auto within_limit = [&] { return value_bytes(to_json(grants)) <= max_bytes; };
  while (!within_limit()) {
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

std::optional<JobValues> split_job_record(JobRecord record, std::size_t max_bytes) {
  JobValues values{std::move(record), {}};
  if (value_bytes(to_json(values.record)) <= max_bytes) return values;
  values.depends_on = split_dependencies(values.record, max_bytes);
  values.record.dependency_keys = static_cast<std::uint32_t>(values.depends_on.size());
  if (values.depends_on.empty() || value_bytes(to_json(values.record)) > max_bytes) return std::nullopt;
  return values;
}

}  // namespace beaconsill::state_store
