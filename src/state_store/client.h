// The HTTP client of the state store: queues requests within the rate limits, sends them, and learns from the
// responses which limits apply and whether the state store is available.
#pragma once

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/http_client.h"
#include "protocol/state_store.h"
#include "state_store/access.h"
#include "state_store/effective_limits.h"
#include "state_store/request_queue.h"
#include "state_store/response_delay.h"

namespace beaconsill::state_store {

// Why a read, or a request about a lease, has no result.
enum class ReadError {
  kNotExecuted,  // an outage, a rate limit, or not sent within the queue wait
  kUnknown,      // no response: it may have been executed, or may be executed later
  kNotFound,     // 404: there is no such lease
  kCompacted,    // 410: the changes since that revision are no longer stored
  kRejected,     // any other status, or a malformed response
};

// The response to a read, or to a request about a lease. It is a separate type because protocol::Json
// converts implicitly from nearly every type, including ReadError.
// NOLINTNEXTLINE(bugprone-exception-escape): the JSON library's move can only fail an assertion.
struct ReadResponse {
  protocol::Json body;  // an object
};

using ReadResult = tl::expected<ReadResponse, ReadError>;

// Sends requests to the state store within this controller's share of the service's rate limits. All calls
// and callbacks are made on the thread of the io_context; callbacks of requests are called exactly once.
class StoreClient : public TxnExecutor, public std::enable_shared_from_this<StoreClient> {
 public:
  // `limits`: the current limits of the service as a whole; `upcoming`: the limits that may come into force
  // later; `share`: this controller's share of the rate limits, from 0 to 1, until set_shares() is called.
  StoreClient(asio::io_context& io_context, const Clock& clock, const net::Tcp::endpoint& remote,
              StoreLimits limits, StoreLimits upcoming, double share);

  struct TxnOptions {
    // A transaction that can't be sent within this time fails with TxnError::kNotExecuted.
    Duration queue_wait = kQueueWait;
    // Called when the transaction is sent. From then on the state store may execute it.
    std::function<void()> on_sent;
  };
  void txn(protocol::Txn txn, Urgency urgency, std::function<void(TxnResult)> done) override {
    this->txn(std::move(txn), urgency, std::move(done), {});
  }
  void txn(protocol::Txn txn, Urgency urgency, std::function<void(TxnResult)> done, TxnOptions options);
  // Sends a GET request for `target`, a path with its query string.
  void get(std::string target, Urgency urgency, std::function<void(ReadResult)> done);
  // Grants a lease that expires after `ttl_ms` milliseconds without a renewal.
  void grant_lease(std::uint32_t ttl_ms, std::function<void(ReadResult)> done);
  // Renews a lease, so that its full duration starts again.
  void renew(LeaseId id, std::function<void(ReadResult)> done);

  // Sets this controller's share of the service's rate limits, each from 0 to 1.
  void set_shares(double requests, double writes);
  // The shortest interval at which a request can be repeated so that all its repetitions use at most half of
  // this controller's share of the request rate limit.
  Duration min_request_interval() const { return from_seconds(2 / std::max(1.0, queue_.request_rate())); }
  // How many puts and deletes could be sent now if half a second's worth of the write rate is reserved for
  // more urgent transactions.
  std::size_t spare_writes() const { return queue_.spare_writes(clock_.now()); }
  // The size limits of transactions and values that currently apply.
  const EffectiveSizeLimits& size_limits() const { return size_limits_; }
  Duration write_wait(Urgency urgency) const override { return queue_.write_wait(urgency); }
  // Returns false after a response with status 503 or a read without a response, until the next response with
  // another status. Transactions without a response don't count: the state store may be available and only
  // their responses lost.
  bool available() const { return available_; }
  // A transaction that has had no response for this long is more likely to have lost its response than to be
  // slow.
  Duration response_timeout() const { return response_delay_.timeout(); }
  // Fails all queued requests and all later ones as not executed.
  void stop();

 private:
  // Queues a request whose result is a ReadResult: a read, or a request about a lease.
  void enqueue_read(StoreRequest request, Urgency urgency, std::function<void(ReadResult)> done);
  void enqueue(StoreRequest request, Urgency urgency);
  void send_queued();
  void send(StoreRequest request);
  // Updates the limits and the availability of the state store according to a response or its absence.
  void on_response(const net::Result& response, bool is_read, Instant sent);
  void on_rate_limited(Instant now);
  void on_size_refused(const protocol::Txn& txn, int status);
  void set_available(bool available);
  void update_rates(Instant now);

  const Clock& clock_;
  std::shared_ptr<net::HttpClient> http_;
  EffectiveRateLimits rate_limits_;
  EffectiveSizeLimits size_limits_;
  double request_share_;
  double write_share_;
  RequestQueue queue_;
  asio::steady_timer dispatch_timer_;
  std::optional<Instant> last_response_;  // other than 503 (unavailable)
  ResponseDelay response_delay_;
  bool available_ = true;
  bool stopped_ = false;
};

}  // namespace beaconsill::state_store
