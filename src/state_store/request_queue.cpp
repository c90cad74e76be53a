#include "state_store/request_queue.h"

#include <algorithm>
#include <utility>

namespace beaconsill::state_store {
namespace {

constexpr double kBurstSeconds = 1.0;
// Puts and deletes per second. Waits at a lower rate are estimated with this rate, which also avoids a
// division by zero.
constexpr double kMinWriteRate = 0.1;

}  // namespace

RequestQueue::RequestQueue(double request_rate, double write_rate, Instant now)
    : request_limiter_(request_rate, kBurstSeconds, now), write_limiter_(write_rate, kBurstSeconds, now) {}

void RequestQueue::set_rates(double request_rate, double write_rate, Instant now) {
  request_limiter_.set_rate(request_rate, now);
  write_limiter_.set_rate(write_rate, now);
}

void RequestQueue::push(StoreRequest request, Urgency urgency, Instant now) {
  auto& queues = request.is_read() ? read_queues_ : txn_queues_;
  const auto deadline = now + request.queue_wait;
  queues[static_cast<std::size_t>(urgency)].push_back({std::move(request), deadline});
}

RequestQueue::Dispatched RequestQueue::dispatch(Instant now) {
  Dispatched dispatched;
  bool txns_blocked = false;
  for (std::size_t i = 0; i < kUrgencyCount; ++i) {
    const bool urgent = i == static_cast<std::size_t>(Urgency::kElection);
    if (auto next = dispatch_queue(read_queues_[i], urgent, now, dispatched)) {
      dispatched.next_dispatch = std::min(dispatched.next_dispatch.value_or(*next), *next);
      break;  // the request rate limit is used up, so less urgent requests wait as well
    }
    if (txns_blocked) continue;
    if (auto next = dispatch_queue(txn_queues_[i], urgent, now, dispatched)) {
      dispatched.next_dispatch = next;
      txns_blocked = true;
    }
  }
  return dispatched;
}

std::optional<Instant> RequestQueue::dispatch_queue(Queue& queue, bool urgent, Instant now,
                                                    Dispatched& dispatched) {
  while (!queue.empty()) {
    auto& front = queue.front();
    if (front.deadline <= now) {
      dispatched.expired.push_back(std::move(front.request));
      queue.pop_front();
      continue;
    }
    const auto writes = static_cast<double>(front.request.writes);
    auto ready_at = request_limiter_.ready_at(1, urgent, now);
    if (writes > 0) ready_at = std::max(ready_at, write_limiter_.ready_at(writes, urgent, now));
    // The requests behind this one wait as well: a steady stream of small transactions must not starve a
    // large one.
    if (ready_at > now) return std::min(ready_at, front.deadline);
    request_limiter_.take(1, urgent, now);
    if (writes > 0) write_limiter_.take(writes, urgent, now);
    dispatched.ready.push_back(std::move(front.request));
    queue.pop_front();
  }
  return std::nullopt;
}

void RequestQueue::on_rate_limited(Instant now) {
  request_limiter_.drain(now);
  write_limiter_.drain(now);
}

std::vector<StoreRequest> RequestQueue::take_all() {
  std::vector<StoreRequest> all;
  for (auto* queues : {&read_queues_, &txn_queues_})
    for (auto& queue : *queues)
      for (auto& entry : std::exchange(queue, {})) all.push_back(std::move(entry.request));
  return all;
}

double RequestQueue::queued_writes(std::size_t urgency_count) const {
  double queued = 0;
  for (std::size_t i = 0; i < urgency_count; ++i)
    for (const auto& entry : txn_queues_[i]) queued += static_cast<double>(entry.request.writes);
  return queued;
}

std::size_t RequestQueue::spare_writes(Instant now) const {
  const double reserve = write_limiter_.rate() / 2;
  const double spare = write_limiter_.level(now) - queued_writes(kUrgencyCount) - reserve;
  return spare <= 0 ? 0 : static_cast<std::size_t>(spare);
}

Duration RequestQueue::write_wait(Urgency urgency) const {
  const double queued = queued_writes(static_cast<std::size_t>(urgency) + 1);
  return from_seconds(queued / std::max(kMinWriteRate, write_limiter_.rate()));
}

}  // namespace beaconsill::state_store
