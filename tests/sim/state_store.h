// Fake of the state store: keys with versions, transactions, and leases of the controllers' liveness keys.
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
  // The JSON library checks its invariants by assertions, which clang-tidy takes for exceptions of a move.
  struct Entry {  // NOLINT(bugprone-exception-escape)
    protocol::Json value;
    std::uint64_t version = 0;
  };
  using Done = std::function<void(state_store::TxnResult)>;

  // `decisions` gets every transaction that is sent. `lost_responses`: the share of transactions without an
  // answer, at any time.
  // `on_written` is called for each change.
  StateStore(EventQueue& queue, Network& network, DecisionDigest& decisions, double lost_responses,
             std::function<void(const protocol::Write&)> on_written);

  // ---- Faults
  void outage(double until) { outage_until_ = std::max(outage_until_, until); }
  void refuse(int controller, double until) { refused_until_[controller] = until; }
  // Of that share of transactions only the answer is lost.
  void lose_responses(Window window) { lost_response_window_ = window; }
  // That share has no answer and is carried out 2 to 12 s later, after newer ones.
  void delay_writes(Window window) { late_write_window_ = window; }
  void answer_slowly(Window window) { slow_window_ = window; }

  // Whether this controller is served now.
  bool answers(int controller) const;
  void txn(int controller, const protocol::Txn& txn, const Done& done);
  // Reads all changes so far; `done` gets the number of entries of the log that were read, or none.
  void read(int controller, const std::function<void(std::optional<std::size_t>)>& done);
  const std::vector<protocol::Change>& log() const { return log_; }
  // Renews the lease of a controller's liveness key, and writes the key if it isn't there.
  void renew(int controller, const std::string& key);

  const Entry* find(const std::string& key) const {
    auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second;
  }

 private:
  bool apply(const protocol::Txn& txn, Revision& revision);
  void apply_later(double delay, const protocol::Txn& txn);
  void expire(int controller, const std::string& key);
  double path_delay();

  EventQueue& queue_;
  Network& network_;
  DecisionDigest& decisions_;
  double lost_responses_;
  std::function<void(const protocol::Write&)> on_written_;
  std::map<std::string, Entry> entries_;
  std::vector<protocol::Change> log_;
  std::uint64_t revision_ = 0;
  std::map<int, double> lease_until_, refused_until_;
  double outage_until_ = 0;
  Window lost_response_window_, late_write_window_, slow_window_;
};

}  // namespace beaconsill::sim
