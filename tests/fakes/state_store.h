// Fake of the state store, as far as the protocol needs for the service to run on loopback.
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
  bool down = false;                 // for all
  std::size_t max_ops = SIZE_MAX;    // changes of a transaction
  std::size_t max_value = SIZE_MAX;  // bytes of a value
  std::array<bool, 2> shut{};        // for the controller that uses this port
  bool silent = false;               // takes requests, and neither carries them out nor answers
  bool txn_answers_lost = false;     // transactions are carried out
  std::vector<HttpServer::Reply> unanswered;
  std::map<std::string, int> requests;  // carried out, by path
  std::map<std::string, int> refused;   // for an outage, by path
  std::array<std::shared_ptr<HttpServer>, 2> doors;
  std::map<std::string, std::pair<Json, std::uint64_t>> keys;
  // The fault of a request: carried out only by `carry_out_late` and never answered, or carried out at once
  // and answered by `answer_kept`.
  enum class RequestFault { kNone, kLate, kAnswerKept };
  std::function<RequestFault(const Request&)> fault;
  std::size_t late() const { return late_.size(); }
  std::size_t kept() const { return kept_.size(); }
  // The statuses that they would have been answered with.
  std::vector<int> carry_out_late();
  void answer_kept();
  // A change by somebody else.
  void set(const std::string& key, Json value);
  void remove(const std::string& key);
  std::uint64_t revision() const { return revision_; }
  // Ends a lease, as when it isn't renewed in time.
  void expire(std::uint64_t lease);
  // Sets a key, as some other program would.
  void put(const std::string& key, Json value);
  std::optional<std::uint64_t> hold_of(const std::string& key) const;

 private:
  Response handle(const Request& r);
  static constexpr std::size_t kMaxTxn = std::size_t{64} * 1024;
  bool too_large(const Json& t) const;
  Response txn(const Json& t);
  void drop(const std::string& key);

  std::vector<std::pair<Request, HttpServer::Reply>> late_;
  std::vector<std::pair<Response, HttpServer::Reply>> kept_;
  std::vector<Json> log_;
  std::set<std::uint64_t> holds_;
  std::map<std::string, std::uint64_t> attached_;
  std::uint64_t revision_ = 0, last_hold_ = 0;
};

}  // namespace beaconsill::fakes
