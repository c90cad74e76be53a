// Stand-in of the state service: keys with versions, transactions, and the controllers' holds.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "sim/network.h"
#include "wire/store.h"

namespace beaconsill::sim {

class StateService {
 public:
  struct Entry {
    wire::Json value;
    std::uint64_t version = 0;
  };
  enum class Result { kOk, kConflict, kRefused, kUnknown };
  using Done = std::function<void(Result, Revision)>;

  // `lost_answers`: the share of transactions without an answer.
  // `on_written` is called for each change.
  StateService(EventQueue& queue, Network& network, double lost_answers,
               std::function<void(const wire::Write&)> on_written);

  // Answers nobody until then.
  void outage(double until) { outage_until_ = until; }
  bool answers(int node) const { return queue_.now() >= outage_until_ && network_.reaches_state(node); }

  void txn(int node, wire::Txn t, Done done);
  // Reads all changes so far; `done` gets the number of entries of the log that were read.
  void read(int node, std::function<void(std::size_t)> done);
  const std::vector<wire::Change>& log() const { return log_; }

  // Renews the hold under a controller's liveness key.
  void renew(int node, const std::string& key);
  void forget_hold(int node) { hold_until_[node] = 0; }

  const Entry* find(const std::string& key) const {
    auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second;
  }

 private:
  bool apply(const wire::Txn& t, Revision& r);
  void expire(int node, const std::string& key);

  EventQueue& queue_;
  Network& network_;
  double lost_answers_;
  std::function<void(const wire::Write&)> on_written_;
  std::map<std::string, Entry> entries_;
  std::vector<wire::Change> log_;
  std::uint64_t revision_ = 0;
  std::map<int, double> hold_until_;
  double outage_until_ = 0;
};

}  // namespace beaconsill::sim
