// Queues requests to the state store until this controller's share of the service's rate limits allows them
// to be sent, the most urgent first. Not thread-safe; StoreClient owns it.
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
  std::size_t writes = 0;  // number of puts and deletes; 0: a read, or a request about a lease
  std::function<void(net::Result)> done;
  std::function<void()> on_sent;
  Duration queue_wait = kQueueWait;  // the request expires if it can't be sent within this time

  bool is_read() const { return writes == 0; }
};

// Two queues for each urgency, one for reads and one for transactions, in front of two rate limiters: one for
// all requests and one for writes (puts and deletes).
//
// Reads don't wait behind transactions that wait for the write rate limit. Submissions that are refused
// during an outage use up that limit; in a common queue they would delay every read (by 2 s in
// state_store_test).
class RequestQueue {
 public:
  // The result of a call of `dispatch`.
  struct Dispatched {
    std::vector<StoreRequest> ready;    // to be sent now, in this order
    std::vector<StoreRequest> expired;  // could not be sent within their `queue_wait`
    // When the next queued request may be sent or expires; nullopt: no request is queued.
    std::optional<Instant> next_dispatch;
  };

  // `request_rate`: requests per second; `write_rate`: puts and deletes per second.
  RequestQueue(double request_rate, double write_rate, Instant now);

  void set_rates(double request_rate, double write_rate, Instant now);
  void push(StoreRequest request, Urgency urgency, Instant now);
  // Removes and returns the requests that the rate limits allow to be sent now, and those that have expired.
  Dispatched dispatch(Instant now);
  // Handles a response with status 429 (too many requests) by emptying both rate limiters. Until they
  // have refilled, only election requests are sent, which may overdraw them.
  void on_rate_limited(Instant now);
  // Removes and returns all requests, the reads first.
  std::vector<StoreRequest> take_all();

  // How many puts and deletes could be sent now if half a second's worth of the write rate is reserved for
  // more urgent transactions.
  std::size_t spare_writes(Instant now) const;
  // Estimates how long a transaction of this urgency that is added now would wait for the write rate limit.
  Duration write_wait(Urgency urgency) const;
  // Requests per second.
  double request_rate() const { return request_limiter_.rate(); }

 private:
  struct Entry {
    StoreRequest request;
    Instant deadline;
  };
  using Queue = std::deque<Entry>;

  // Moves the requests of one queue that may be sent now, or that have expired, to `dispatched`. Returns the
  // time of the next attempt, or std::nullopt if the queue is now empty.
  std::optional<Instant> dispatch_queue(Queue& queue, bool urgent, Instant now, Dispatched& dispatched);
  // Puts and deletes in the queues of the `urgency_count` most urgent classes.
  double queued_writes(std::size_t urgency_count) const;

  RateLimiter request_limiter_;
  RateLimiter write_limiter_;
  std::array<Queue, kUrgencyCount> read_queues_;
  std::array<Queue, kUrgencyCount> txn_queues_;
};

}  // namespace beaconsill::state_store
