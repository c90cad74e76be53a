// Fake of the state store: an in-memory HTTP server on loopback that implements the subset of the protocol
// that the controllers use, and can inject outages and faults.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "fakes/loopback.h"

namespace beaconsill::fakes {

class StateStore {
 public:
  explicit StateStore(asio::io_context& io);
  bool down = false;                       // all requests are refused with 503
  std::size_t max_txn_writes = SIZE_MAX;   // per transaction; four times as many conditions are allowed
  std::size_t max_value_bytes = SIZE_MAX;  // maximum size of a value, serialized as JSON
  // Requests to the server with this index are refused with 503, as in an outage for one controller only.
  std::array<bool, 2> server_unavailable{};
  bool ignore_requests = false;     // requests are accepted, but neither executed nor answered
  bool drop_txn_responses = false;  // transactions are executed, but not answered
  // Callbacks of the requests that were not answered because of the two flags above.
  std::vector<HttpServer::Reply> unanswered;
  std::map<std::string, int> requests;  // number of executed requests, by path
  std::map<std::string, int> refused;   // number of requests refused because of an outage, by path
  // Two servers with the same contents: each controller uses one of its own.
  std::array<std::shared_ptr<HttpServer>, 2> servers;
  std::map<std::string, std::pair<Json, std::uint64_t>> keys;  // key -> value and revision of its last change
  // The fault to inject into a request:
  // - kExecutionDelayed: it is executed only by `execute_delayed_requests`, and never answered.
  // - kResponseDelayed: it is executed at once, and answered only by `send_delayed_responses`.
  enum class RequestFault { kNone, kExecutionDelayed, kResponseDelayed };
  std::function<RequestFault(const Request&)> fault;
  std::size_t delayed_requests() const { return delayed_requests_.size(); }
  std::size_t delayed_responses() const { return delayed_responses_.size(); }
  // Returns the HTTP statuses with which the requests would have been answered.
  std::vector<int> execute_delayed_requests();
  void send_delayed_responses();
  // Sets or deletes a key as another client would. The key is detached from its lease.
  void set(const std::string& key, Json value);
  void remove(const std::string& key);
  std::uint64_t revision() const { return revision_; }
  // Expires a lease that was not renewed in time: deletes the keys that are attached to it.
  void expire(std::uint64_t lease);
  // Sets a key as another client would. Unlike with `set`, the key remains attached to its lease, if it has
  // one.
  void put(const std::string& key, Json value);
  // Returns the lease that the key is attached to, or std::nullopt if there is none.
  std::optional<std::uint64_t> lease_of(const std::string& key) const;

 private:
  Response handle(const Request& request);
  static constexpr std::size_t kMaxTxnBytes = std::size_t{64} * 1024;
  bool too_large(const Json& txn_json) const;
  Response execute_txn(const Json& txn_json);
  void erase_and_log(const std::string& key);

  std::vector<std::pair<Request, HttpServer::Reply>> delayed_requests_;
  std::vector<std::pair<Response, HttpServer::Reply>> delayed_responses_;
  std::vector<Json> changes_;  // all changes, in the form and order in which a watch reports them
  std::set<std::uint64_t> leases_;
  std::map<std::string, std::uint64_t> lease_by_key_;
  std::uint64_t revision_ = 0, last_lease_ = 0;
};

}  // namespace beaconsill::fakes
