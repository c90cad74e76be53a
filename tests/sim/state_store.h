// Fake of the state store: a versioned key-value store with transactions, and with leases for the
// controllers' liveness keys.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "sim/decision_digest.h"
#include "sim/network.h"
#include "state_store/access.h"

namespace beaconsill::sim {

class StateStore {
 public:
  // The JSON library checks its invariants with assertions; clang-tidy mistakes them for exceptions thrown by
  // a move.
  struct Entry {  // NOLINT(bugprone-exception-escape)
    protocol::Json value;
    std::uint64_t version = 0;
  };
  using OnTxnResult = std::function<void(state_store::TxnResult)>;

  // `decisions` records every transaction that is sent. `lost_response_share` is the share of transactions
  // that get no response, independent of injected faults; it has no effect if noise is disabled.
  // `on_write_applied` is called for each write that is applied.
  StateStore(EventQueue& queue, Network& network, DecisionDigest& decisions, double lost_response_share,
             std::function<void(const protocol::Write&)> on_write_applied);

  // ---- Faults
  // Until the given time (s), no controller is served.
  void begin_outage(double until) { outage_until_ = std::max(outage_until_, until); }
  // Until the given time (s), requests of this controller are refused.
  void refuse_requests_of(int controller, double until) { refused_until_[controller] = until; }
  // The window's share of transactions is applied, but the response is lost.
  void lose_responses(FaultWindow window) { lost_response_window_ = window; }
  // The window's share of transactions gets no response and is applied 2 to 12 s later, possibly after newer
  // transactions.
  void delay_writes(FaultWindow window) { delayed_write_window_ = window; }
  // The window's share of the requests, and independently of the responses, takes 0.1 to 1.2 s to arrive.
  void delay_responses(FaultWindow window) { slow_response_window_ = window; }

  // Returns whether requests of this controller are currently served.
  bool serves(int controller) const;
  void txn(int controller, const protocol::Txn& txn, const OnTxnResult& done);
  // Reads all changes so far. `done` receives the number of log entries that were read, or std::nullopt if
  // the read failed.
  void read(int controller, const std::function<void(std::optional<std::size_t>)>& done);
  const std::vector<protocol::Change>& log() const { return log_; }
  // Renews the lease of a controller's liveness key, and writes the key if it does not exist.
  void renew_liveness_lease(int controller, const std::string& key);

  const Entry* find(const std::string& key) const {
    auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second;
  }

 private:
  bool apply(const protocol::Txn& txn, Revision& revision);
  void apply_after(double delay, const protocol::Txn& txn);
  void expire_liveness_key(int controller, const std::string& key);
  double draw_path_delay();

  EventQueue& queue_;
  Network& network_;
  DecisionDigest& decisions_;
  double lost_response_share_;
  std::function<void(const protocol::Write&)> on_write_applied_;
  std::map<std::string, Entry> entries_;
  std::vector<protocol::Change> log_;
  std::uint64_t revision_ = 0;
  std::map<int, double> lease_until_, refused_until_;
  double outage_until_ = 0;
  FaultWindow lost_response_window_, delayed_write_window_, slow_response_window_;
};

}  // namespace beaconsill::sim
