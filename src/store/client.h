// Client of the state service. Requests wait here for their share of its limits, the most urgent first.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>

#include "net/http_client.h"
#include "store/budget.h"
#include "wire/store.h"

namespace beaconsill::store {

enum class Urgency { kRole, kUser, kWork, kTidy };
constexpr std::size_t kUrgencies = 4;

enum class Outcome {
  kOk,
  kConflict,  // 409: nothing was changed
  kRefused,   // not executed: an outage, a limit, or no time to send it
  kUnknown,   // no answer: it may have been executed, or may still be
  kBad,       // 400, 404, 410 or an answer that makes no sense
};

struct TxnResult {
  Outcome outcome = Outcome::kRefused;
  Revision revision;
};
struct ReadResult {
  Outcome outcome = Outcome::kRefused;
  int status = 0;
  wire::Json body;
};

struct StoreLimits {
  double rps = 0;
  double write_rps = 0;
  std::size_t txn_ops = SIZE_MAX;
  std::size_t value_bytes = SIZE_MAX;
};

// Which of two limits is in force: the service lowers its own at some moment, without notice. Refusals for
// their number (429) show it; from time to time the higher one is tried again, ever more rarely.
class LimitsInForce {
 public:
  LimitsInForce(StoreLimits now, StoreLimits next) : now_(now), next_(next) {}
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
// size.
class SizesInForce {
 public:
  SizesInForce(std::size_t txn_ops, std::size_t value_bytes)
      : most_ops_(txn_ops), txn_ops_(txn_ops), value_bytes_(value_bytes) {}
  std::size_t txn_ops() const { return txn_ops_; }
  std::size_t value_bytes() const { return value_bytes_; }
  // A transaction was answered 400: the next ones are half as large. One with a single change can only be too
  // large by its value.
  void on_refused(const wire::Txn& t);

 private:
  std::size_t most_ops_, txn_ops_, value_bytes_;
};

class StoreClient : public std::enable_shared_from_this<StoreClient> {
 public:
  // `next`: the limits that may come into force later.
  StoreClient(asio::io_context& io, const Clock& clock, net::Tcp::endpoint at, StoreLimits limits,
              StoreLimits next, double share);

  void txn(wire::Txn t, Urgency u, std::function<void(TxnResult)> done);
  void get(std::string target, Urgency u, std::function<void(ReadResult)> done);
  void hold(std::uint32_t ttl_ms, std::function<void(ReadResult)> done);
  void renew(HoldId id, std::function<void(ReadResult)> done);

  // This node's part of the service's limits.
  void set_shares(double requests, double writes);
  // The least time between two requests of a kind that may take half of this node's share of the service's
  // limit.
  Duration fair_gap() const { return from_seconds(2 / std::max(1.0, limits_.get().rps * request_share_)); }
  // How many changes could be made now with half of a second's worth left for what is more urgent.
  std::size_t spare_writes() const;
  // What a transaction and a value may hold now.
  const SizesInForce& sizes() const { return sizes_; }
  // How long a change of this urgency would wait now: what overload is judged by.
  Duration write_wait(Urgency u) const;
  void stop();

 private:
  struct Job {
    std::string method, target, body;
    double writes = 0;
    Instant deadline;
    Duration timeout;
    std::function<void(net::Result)> done;
  };
  void enqueue(Job job, Urgency u);
  void pump();
  void judge(const net::Result& r);
  void set_rates(Instant now);

  asio::io_context& io_;
  const Clock& clock_;
  std::shared_ptr<net::HttpClient> http_;
  LimitsInForce limits_;
  SizesInForce sizes_;
  double request_share_, write_share_;
  Budget requests_, writes_;
  std::array<std::deque<Job>, kUrgencies> queues_;
  asio::steady_timer timer_;
  bool stopped_ = false;
};

}  // namespace beaconsill::store
