#include "scheduler/round_selection.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "shard/estimator.h"

namespace beaconsill::scheduler {
namespace {

constexpr std::size_t kJobsPerRound = 24;
constexpr std::size_t kRequestsPerRound = 16;
// Of these, the places for the head of the queue, if there are more jobs.
constexpr std::size_t kJobsFromHead = 18;
constexpr std::size_t kRequestsFromHead = 12;
// In multiples of the longest wait: until when others yield to a gang that finds no capacity.
constexpr double kYieldLimit = 3;

class Selector {
 public:
  Selector(const std::vector<QueuedJob>& queue, JobTable& jobs)
      : queue_(queue), jobs_(jobs), request_of_(queue.size()) {}

  void select_from_head() {
    for (std::size_t i = 0; i < queue_.size() && selected_ < kJobsFromHead; ++i) select(i, kRequestsFromHead);
  }

  void select_longest_not_considered() {
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < queue_.size(); ++i)
      if (!request_of_[i]) others.push_back(i);
    std::stable_sort(others.begin(), others.end(), [&](std::size_t left, std::size_t right) {
      return jobs_.at(queue_[left].id).last_considered < jobs_.at(queue_[right].id).last_considered;
    });
    for (auto position : others) {
      if (selected_ >= kJobsPerRound) break;
      select(position, kRequestsPerRound);
    }
  }

  RoundSelection finish(const WaitingJobs& waiting, Instant now, WallMs wall) {
    RoundSelection selection;
    for (std::size_t i = 0; i < queue_.size(); ++i) {
      if (!request_of_[i]) continue;
      const auto& id = queue_[i].id;
      auto& entry = jobs_.at(id);
      entry.last_considered = now;
      auto waits = waiting.waits_in_limits(id, entry, wall);
      selection.candidates.push_back({id, *request_of_[i], waits >= 1 && waits < kYieldLimit});
    }
    selection.resource_requests = std::move(requests_);
    return selection;
  }

 private:
  // Unless its resource request would be one too many.
  void select(std::size_t index, std::size_t max_requests) {
    auto request = shard::request_of(jobs_.at(queue_[index].id).spec(), 0);
    request.priority = queue_[index].priority;
    auto it = std::find(requests_.begin(), requests_.end(), request);
    if (it == requests_.end()) {
      if (requests_.size() >= max_requests) return;
      it = requests_.insert(it, std::move(request));
    }
    request_of_[index] = static_cast<std::size_t>(it - requests_.begin());
    ++selected_;
  }

  const std::vector<QueuedJob>& queue_;
  JobTable& jobs_;
  std::vector<std::optional<std::size_t>> request_of_;  // of each job in the queue; none: not selected
  std::vector<protocol::ResourceRequest> requests_;
  std::size_t selected_ = 0;
};

}  // namespace

RoundSelection select_for_round(const std::vector<QueuedJob>& queue, JobTable& jobs,
                                const WaitingJobs& waiting, Instant now, WallMs wall) {
  Selector selector(queue, jobs);
  selector.select_from_head();
  selector.select_longest_not_considered();
  return selector.finish(waiting, now, wall);
}

}  // namespace beaconsill::scheduler
