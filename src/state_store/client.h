// Client of the state store. Requests wait here for their share of its limits, the most urgent first.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "net/http_client.h"
#include "protocol/state_store.h"
#include "state_store/access.h"
#include "state_store/rate_limiter.h"

namespace beaconsill::state_store {

// NOLINTNEXTLINE(bugprone-exception-escape): the JSON library's move asserts its invariants, nothing more.
struct ReadResult {
  RequestOutcome outcome = RequestOutcome::kRefused;
  int status = 0;
  protocol::Json body;
};

struct StoreLimits {
  double rps = 0;
  double write_rps = 0;
  std::size_t txn_ops = SIZE_MAX;
  std::size_t value_bytes = SIZE_MAX;
};

// Which of two limits is in force: the service lowers its own at some moment, without notice. Refusals for
// their number (429) show it; from time to time the higher one is tried again, ever more rarely.
class EffectiveRateLimits {
 public:
  EffectiveRateLimits(StoreLimits now, StoreLimits next) : now_(now), next_(next) {}
  const StoreLimits& get() const { return lowered_ ? next_ : now_; }
  // Each returns whether the limits in force have changed.
  bool on_too_many(Instant now);
  bool on_time(Instant now);

 private:
  StoreLimits now_, next_;
  bool lowered_ = false;
  Instant refused_{};  // when a request was refused last
  Instant try_again_{};
  Duration patience_{};
};

// The sizes that the service takes: those of the settings, less once it has refused a transaction for its
// size. After a while those of the settings are tried again, ever more rarely: it may have been refused for
// another reason.
class EffectiveSizeLimits {
 public:
  EffectiveSizeLimits(std::size_t txn_ops, std::size_t value_bytes)
      : most_ops_(txn_ops), txn_ops_(txn_ops), most_value_bytes_(value_bytes), value_bytes_(value_bytes) {}
  std::size_t txn_ops() const { return txn_ops_; }
  std::size_t value_bytes() const { return value_bytes_; }
  // A transaction was answered 400: the next ones are half as large. One with a single change can only be too
  // large by its value.
  void on_refused(const protocol::Txn& t, Instant now);
  void on_time(Instant now);

 private:
  void lower(std::size_t& size, std::size_t to, Instant now);

  std::size_t most_ops_, txn_ops_, most_value_bytes_, value_bytes_;
  Instant try_again_{};
  Duration patience_{};
};

class StoreClient : public TxnExecutor, public std::enable_shared_from_this<StoreClient> {
 public:
  // `next`: the limits that may come into force later.
  StoreClient(asio::io_context& io, const Clock& clock, const net::Tcp::endpoint& at, StoreLimits limits,
              StoreLimits next, double share);

  struct TxnOptions {
    Duration queue_wait = kQueueWait;  // what can't be sent within this time is refused
    std::function<void()>
        on_sent;  // called when it leaves this controller: from then on it may be carried out
  };
  void txn(protocol::Txn t, Urgency u, std::function<void(TxnResult)> done) override {
    txn(std::move(t), u, std::move(done), {});
  }
  void txn(protocol::Txn t, Urgency u, std::function<void(TxnResult)> done, TxnOptions options);
  void get(std::string target, Urgency u, std::function<void(ReadResult)> done);
  void grant_lease(std::uint32_t ttl_ms, std::function<void(ReadResult)> done);
  void renew(LeaseId id, std::function<void(ReadResult)> done);

  // This controller's part of the service's limits.
  void set_shares(double requests, double writes);
  // The least time between two requests of a kind that may take half of this controller's share of the
  // service's limit.
  Duration fair_gap() const { return from_seconds(2 / std::max(1.0, limits_.get().rps * request_share_)); }
  // How many changes could be made now with half of a second's worth left for what is more urgent.
  std::size_t spare_writes() const;
  // What a transaction and a value may hold now.
  const EffectiveSizeLimits& sizes() const { return sizes_; }
  Duration write_wait(Urgency u) const override;
  // False while this controller is refused or gets no answers to its reads, up to the next answer.
  // Transactions without an answer don't count: the service may be well and only their answers lost.
  bool available() const { return available_; }
  // After so long a transaction without an answer is more likely lost than slow: from the answers' smoothed
  // delay and its variation, as TCP sets its retransmission timeout (RFC 6298).
  Duration answer_timeout() const;
  void stop();

 private:
  struct Job {
    std::string method, target, body;
    double writes = 0;  // puts and deletes; none: a read, or a hold
    std::function<void(net::Result)> done;
    std::function<void()> on_sent;
    Duration queue_wait = kQueueWait;
    Instant deadline{};
  };
  using Queue = std::deque<Job>;
  void enqueue(Job job, Urgency u);
  void send_queued();
  // Sends what the budget has room for; the earliest time at which there is room for the next, if any waits.
  std::optional<Instant> send_ready(Queue& queue, bool urgent, std::vector<Job>& late);
  void send(Job job);
  void judge(const net::Result& r, bool read, Instant sent);
  void set_available(bool available);
  void set_rates(Instant now);

  const Clock& clock_;
  std::shared_ptr<net::HttpClient> http_;
  EffectiveRateLimits limits_;
  EffectiveSizeLimits sizes_;
  double request_share_, write_share_;
  RateLimiter requests_, writes_;
  std::array<Queue, kUrgencies> reads_, changes_;
  asio::steady_timer timer_;
  Instant answered_{};  // the last answer other than a refusal
  std::optional<double> delay_s_;
  double variation_s_ = 0;
  bool available_ = true;
  bool stopped_ = false;
};

}  // namespace beaconsill::state_store
