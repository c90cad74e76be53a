// Requests to the state store that wait for this controller's share of the service's rate limits, the most
// urgent first. Not thread-safe; StoreClient owns it.
#pragma once

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "state_store/access.h"
#include "state_store/rate_limiter.h"

namespace beaconsill::state_store {

// An HTTP request to the state store.
struct StoreRequest {
  std::string method;
  std::string target;
  std::string body;
  std::size_t writes = 0;  // puts and deletes; 0: a read, or a request about a lease
  std::function<void(net::Result)> done;
  std::function<void()> on_sent;
  Duration queue_wait = kQueueWait;  // it's refused if it can't be sent within this time

  bool is_read() const { return writes == 0; }
};

// Queues of requests, a pair of reads and changes for each urgency, in front of two rate limiters.
//
// Reads don't wait behind changes that wait for the limit of changes: submissions that are refused during an
// outage use that limit up, and every read would stand behind them (2 s in state_store_test).
class RequestQueue {
 public:
  // What a call of `dispatch` took out of the queues.
  struct Dispatched {
    std::vector<StoreRequest> ready;    // to be sent now, in this order
    std::vector<StoreRequest> expired;  // waited for longer than their `queue_wait`
    std::optional<Instant> next;        // when the next one may be sent or expires; none: nothing waits
  };

  // Rates of requests and of puts and deletes, a second.
  RequestQueue(double request_rate, double write_rate, Instant now);

  void set_rates(double request_rate, double write_rate, Instant now);
  void push(StoreRequest request, Urgency urgency, Instant now);
  // Takes out the requests that the rate limits allow now.
  Dispatched dispatch(Instant now);
  // The service refused a request for too many requests: nothing is sent until the limiters have refilled.
  void on_too_many(Instant now);
  // Takes out all requests, the reads first.
  std::vector<StoreRequest> take_all();

  // How many changes could be made now with half of a second's worth left for what is more urgent.
  std::size_t spare_writes(Instant now) const;
  // How long a change of this urgency would wait now.
  Duration write_wait(Urgency urgency) const;
  // The rate of requests, a second.
  double request_rate() const { return request_limiter_.rate(); }

 private:
  struct Entry {
    StoreRequest request;
    Instant deadline;
  };
  using Queue = std::deque<Entry>;

  // Takes out of one queue what may be sent now; the time of the next attempt if any is left.
  std::optional<Instant> dispatch_queue(Queue& queue, bool urgent, Instant now, Dispatched& dispatched);
  double queued_writes(std::size_t urgencies) const;

  RateLimiter request_limiter_;
  RateLimiter write_limiter_;
  std::array<Queue, kUrgencies> reads_;
  std::array<Queue, kUrgencies> changes_;
};

}  // namespace beaconsill::state_store
