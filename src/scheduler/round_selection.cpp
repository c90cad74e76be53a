#include "scheduler/round_selection.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "shard/estimator.h"

namespace beaconsill::scheduler {
namespace {

constexpr std::size_t kMaxJobsPerRound = 24;
constexpr std::size_t kMaxRequestsPerRound = 16;
// How many of these the head of the queue may use. The rest is for other jobs.
constexpr std::size_t kMaxJobsFromHead = 18;
constexpr std::size_t kMaxRequestsFromHead = 12;
// Arrays yield to a starving gang that finds no capacity while the gang's wait ratio is below this limit.
constexpr double kMaxYieldWaitRatio = 3;

class Selector {
 public:
  Selector(const std::vector<QueuedJob>& queue, JobTable& jobs)
      : queue_(queue), jobs_(jobs), request_indexes_(queue.size()) {}

  void select_from_head() {
    for (std::size_t i = 0; i < queue_.size() && selected_ < kMaxJobsFromHead; ++i)
      select(i, kMaxRequestsFromHead);
  }

  void select_least_recently_considered() {
    std::vector<std::size_t> unselected;
    for (std::size_t i = 0; i < queue_.size(); ++i)
      if (!request_indexes_[i]) unselected.push_back(i);
    std::stable_sort(unselected.begin(), unselected.end(), [&](std::size_t left, std::size_t right) {
      return jobs_.at(queue_[left].id).last_considered < jobs_.at(queue_[right].id).last_considered;
    });
    for (auto index : unselected) {
      if (selected_ >= kMaxJobsPerRound) break;
      select(index, kMaxRequestsPerRound);
    }
  }

  RoundSelection finish(const WaitingJobs& waiting, Instant now, WallMs wall) {
    RoundSelection selection;
    for (std::size_t i = 0; i < queue_.size(); ++i) {
      if (!request_indexes_[i]) continue;
      const auto& id = queue_[i].id;
      auto& entry = jobs_.at(id);
      entry.last_considered = now;
      auto wait_ratio = waiting.wait_ratio(id, entry, wall);
      selection.candidates.push_back(
          {id, *request_indexes_[i], wait_ratio >= 1 && wait_ratio < kMaxYieldWaitRatio});
    }
    selection.resource_requests = std::move(requests_);
    return selection;
  }

 private:
  // Selects the job unless the round would then have more than `max_requests` different resource requests.
  void select(std::size_t index, std::size_t max_requests) {
    auto request = shard::request_of(jobs_.at(queue_[index].id).spec(), 0);
    request.priority = queue_[index].priority;
    auto it = std::find(requests_.begin(), requests_.end(), request);
    if (it == requests_.end()) {
      if (requests_.size() >= max_requests) return;
      it = requests_.insert(it, std::move(request));
    }
    request_indexes_[index] = static_cast<std::size_t>(it - requests_.begin());
    ++selected_;
  }

  const std::vector<QueuedJob>& queue_;
  JobTable& jobs_;
  // For each position in the queue, the index into requests_; std::nullopt if the job isn't selected.
  std::vector<std::optional<std::size_t>> request_indexes_;
  std::vector<protocol::ResourceRequest> requests_;
  std::size_t selected_ = 0;
};

}  // namespace

RoundSelection select_for_round(const std::vector<QueuedJob>& queue, JobTable& jobs,
                                const WaitingJobs& waiting, Instant now, WallMs wall) {
  Selector selector(queue, jobs);
  selector.select_from_head();
  selector.select_least_recently_considered();
  return selector.finish(waiting, now, wall);
}

}  // namespace beaconsill::scheduler
