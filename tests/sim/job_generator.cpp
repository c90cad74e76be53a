#include "sim/job_generator.h"

#include <array>

namespace beaconsill::sim {

protocol::JobSpec JobGenerator::next_array(std::uint32_t tasks) {
  protocol::JobSpec spec;
  int number = next_job_++;
  spec.id = JobId("run-" + std::to_string(number));
  spec.job_class = "c";
  spec.team = teams()[static_cast<std::size_t>(number) % teams().size()];
  spec.tasks = tasks;
  spec.each = {1, 0, 1};
  spec.image = ImageName("img-" + std::to_string(number % 3));
  spec.image_gb = 1;
  spec.estimate_s = 3;
  return spec;
}

protocol::JobSpec JobGenerator::mixed_job(int index) {
  auto spec = next_array(5 + static_cast<std::uint32_t>(queue_.draw_below(30)));
  spec.id = JobId("run-" + std::to_string(index));
  spec.team = teams()[static_cast<std::size_t>(index) % teams().size()];
  if (index % 3 == 0) {
    spec.kind = JobKind::kService;
    spec.priority = Priority::kHigh;
    spec.tasks = 1 + static_cast<std::uint32_t>(index % 2);
  } else if (index % 4 == 2) {
    // Two tasks, since `index` is even here. They may end at widely different times.
    spec.tasks = 2 + static_cast<std::uint32_t>(index % 2);
  }
  if (index % 5 == 1) spec.zone = Zone("west");
  if (index % 7 == 3) spec.one_zone = true;
  if (index % 7 == 5) spec.spread = true;
  return spec;
}

void JobGenerator::add_checkpoint(protocol::JobSpec& spec) {
  constexpr std::array kSaveSeconds{2.0, kLease, kCancelLimit + 20};
  if (spec.kind != JobKind::kArray) return;
  spec.checkpoint_s = 1;
  spec.save_s = kSaveSeconds[static_cast<std::size_t>(queue_.draw_below(kSaveSeconds.size()))];
}

JobGenerator::Pipeline JobGenerator::draw_pipeline(int index) {
  // For each step of a shape, the indices of the steps that it depends on.
  static const std::vector<std::vector<std::vector<std::size_t>>> kShapes{
      {{}, {0}, {1}, {2}},             // a chain
      {{}, {0}, {0}, {0}, {1, 2, 3}},  // a fan-out that is joined
      {{}, {0}, {0}, {1, 2}},          // a diamond
      {{}, {}, {0, 1}, {1}, {2, 3}},   // two independent first steps
  };
  const auto& dependencies_by_step = kShapes[static_cast<std::size_t>(index) % kShapes.size()];
  Pipeline pipeline;
  for (const auto& dependencies : dependencies_by_step) {
    auto spec = next_array(1 + static_cast<std::uint32_t>(queue_.draw_below(4)));
    spec.id = JobId("run-" + std::to_string(index) + "00" + std::to_string(pipeline.size()));
    spec.priority = Priority::kLow;
    for (auto step : dependencies) spec.depends_on.push_back(pipeline[step].id);
    pipeline.push_back(std::move(spec));
  }
  pipeline.back().priority = Priority::kHigh;
  pipeline.back().deadline_s = 60;
  // Some pipelines depend on a job that another user has submitted.
  auto earlier_job = random_submitted_job();
  if (queue_.draw_bool(0.4) && earlier_job && ledger_.jobs.at(*earlier_job).spec->kind == JobKind::kArray)
    pipeline.front().depends_on.push_back(*earlier_job);
  return pipeline;
}

std::optional<JobId> JobGenerator::random_submitted_job() {
  if (ledger_.jobs.empty()) return std::nullopt;
  return std::next(ledger_.jobs.begin(), queue_.draw_below(static_cast<int>(ledger_.jobs.size())))->first;
}

}  // namespace beaconsill::sim
