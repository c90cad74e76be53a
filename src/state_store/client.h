// The HTTP client of the state store.
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
  kRefused,    // not executed: an outage, a limit, or not sent in time
  kUnknown,    // no response: it may have been executed, or may still be
  kNotFound,   // 404: there is no such lease
  kCompacted,  // 410: the changes since that revision aren't kept any more
  kRejected,   // any other status, or a response that isn't understood
};

// What a read, or a request about a lease, was answered. A type of its own, since JSON converts from nearly
// everything, errors included.
// NOLINTNEXTLINE(bugprone-exception-escape): the JSON library's move asserts its invariants, nothing more.
struct ReadResponse {
  protocol::Json body;  // an object
};

using ReadResult = tl::expected<ReadResponse, ReadError>;

// Sends requests to the state store within this controller's share of the service's rate limits. All calls
// and callbacks are made on the thread of the io_context; callbacks of requests are called exactly once.
class StoreClient : public TxnExecutor, public std::enable_shared_from_this<StoreClient> {
 public:
  // `limits`: those of the service; `next`: the limits that may come into force later; `share`: this
  // controller's share of the rates, from 0 to 1, until set_shares() is called.
  StoreClient(asio::io_context& io_context, const Clock& clock, const net::Tcp::endpoint& remote,
              StoreLimits limits, StoreLimits next, double share);

  struct TxnOptions {
    // A transaction that can't be sent within this time is refused.
    Duration queue_wait = kQueueWait;
    // Called when it leaves this controller: from then on it may be carried out.
    std::function<void()> on_sent;
  };
  void txn(protocol::Txn txn, Urgency urgency, std::function<void(TxnResult)> done) override {
    this->txn(std::move(txn), urgency, std::move(done), {});
  }
  void txn(protocol::Txn txn, Urgency urgency, std::function<void(TxnResult)> done, TxnOptions options);
  // Reads `target`, a path with its query.
  void get(std::string target, Urgency urgency, std::function<void(ReadResult)> done);
  // Grants a lease that expires after `ttl_ms` milliseconds without a renewal.
  void grant_lease(std::uint32_t ttl_ms, std::function<void(ReadResult)> done);
  // Renews a lease for its whole time.
  void renew(LeaseId id, std::function<void(ReadResult)> done);

  // Sets this controller's share of the service's rate limits, each from 0 to 1.
  void set_shares(double requests, double writes);
  // The least time between two requests of a kind that may take half of this controller's share of the
  // service's rate limit.
  Duration fair_gap() const { return from_seconds(2 / std::max(1.0, queue_.request_rate())); }
  // How many changes could be made now with half of a second's worth left for what is more urgent.
  std::size_t spare_writes() const { return queue_.spare_writes(clock_.now()); }
  // What a transaction and a value may hold now.
  const EffectiveSizeLimits& sizes() const { return size_limits_; }
  Duration write_wait(Urgency urgency) const override { return queue_.write_wait(urgency); }
  // False while this controller is refused or gets no responses to its reads, up to the next response.
  // Transactions without a response don't count: the service may be well and only their responses lost.
  bool available() const { return available_; }
  // After so long a transaction without a response is more likely lost than slow.
  Duration response_timeout() const { return response_delay_.timeout(); }
  // Refuses all requests that wait, and all later ones.
  void stop();

 private:
  // A request with a ReadResult: a read, or one about a lease.
  void enqueue_read(StoreRequest request, Urgency urgency, std::function<void(ReadResult)> done);
  void enqueue(StoreRequest request, Urgency urgency);
  void send_queued();
  void send(StoreRequest request);
  // Learns from a response, or from its absence, what the service takes and whether it's available.
  void on_response(const net::Result& response, bool is_read, Instant sent);
  void on_too_many(Instant now);
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
  std::optional<Instant> last_response_;  // other than a refusal
  ResponseDelay response_delay_;
  bool available_ = true;
  bool stopped_ = false;
};

}  // namespace beaconsill::state_store
