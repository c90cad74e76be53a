#include "fakes/state_store.h"

#include <algorithm>

namespace beaconsill::fakes {

StateStore::StateStore(asio::io_context& io) {
  for (std::size_t i = 0; i < servers.size(); ++i) {
    servers[i] = std::make_shared<HttpServer>(
        io, any_port(), net::ServerLimits{}, [](const Request&) { return false; },
        [this, i](Request request, HttpServer::Reply reply) {
          if (down || server_unavailable[i]) {
            ++refused[request.path];
            return reply({503, "{}"});
          }
          if (ignore_requests) return unanswered.push_back(reply);
          auto request_fault = fault ? fault(request) : RequestFault::kNone;
          if (request_fault == RequestFault::kExecutionDelayed)
            return delayed_requests_.emplace_back(std::move(request), std::move(reply)), void();
          ++requests[request.path];
          auto answer = handle(request);
          if (request.path == "/txn" && drop_txn_responses) return unanswered.push_back(reply);
          if (request_fault == RequestFault::kResponseDelayed)
            return delayed_responses_.emplace_back(std::move(answer), std::move(reply)), void();
          reply(std::move(answer));
        });
    servers[i]->start();
  }
}

std::vector<int> StateStore::execute_delayed_requests() {
  std::vector<int> statuses;
  for (auto& [request, reply] : delayed_requests_) statuses.push_back(handle(request).status);
  delayed_requests_.clear();
  return statuses;
}

void StateStore::send_delayed_responses() {
  auto responses = std::move(delayed_responses_);
  delayed_responses_.clear();
  for (auto& [answer, reply] : responses) reply(std::move(answer));
}

void StateStore::set(const std::string& key, Json value) {
  keys[key] = {value, ++revision_};
  lease_by_key_.erase(key);
  changes_.push_back({{"set", key}, {"v", std::move(value)}, {"entry", revision_}});
}

void StateStore::remove(const std::string& key) {
  erase_and_log(key);
  lease_by_key_.erase(key);
}

void StateStore::expire(std::uint64_t lease) {
  for (auto it = lease_by_key_.begin(); it != lease_by_key_.end();)
    if (it->second == lease) {
      erase_and_log(it->first);
      it = lease_by_key_.erase(it);
    } else {
      ++it;
    }
  leases_.erase(lease);
}

void StateStore::put(const std::string& key, Json value) {
  keys[key] = {value, ++revision_};
  changes_.push_back({{"set", key}, {"v", std::move(value)}, {"entry", revision_}});
}

std::optional<std::uint64_t> StateStore::lease_of(const std::string& key) const {
  auto it = lease_by_key_.find(key);
  if (it == lease_by_key_.end()) return std::nullopt;
  return it->second;
}

Response StateStore::handle(const Request& request) {
  if (request.path == "/txn")
    return request.body.size() > kMaxTxnBytes ? Response{413, "{}"} : execute_txn(Json::parse(request.body));
  if (request.path == "/holds") {
    leases_.insert(++last_lease_);
    return {200, Json{{"moorage", last_lease_}}.dump()};
  }
  if (request.path.starts_with("/holds/")) {
    auto id = std::stoull(request.path.substr(7));
    return leases_.contains(id) ? Response{200, "{}"} : Response{404, "{}"};
  }
  auto parameters = parse_query(request.query);
  if (request.path == "/watch") {
    Json changes = Json::array();
    for (auto& change : changes_)
      if (change["entry"].get<std::uint64_t>() > std::stoull(parameters["after"])) changes.push_back(change);
    return {200, Json{{"logline", revision_}, {"news", changes}}.dump()};
  }
  if (request.path == "/store") {
    Json rows = Json::array();
    for (auto it = keys.upper_bound(parameters["after"]); it != keys.end(); ++it)
      if (it->first.starts_with(parameters["under"]))
        rows.push_back({{"path", it->first}, {"v", it->second.first}, {"entry", it->second.second}});
    return {200, Json{{"rows", rows}, {"more", false}, {"logline", revision_}}.dump()};
  }
  return {400, "{}"};
}

bool StateStore::too_large(const Json& txn_json) const {
  if (txn_json["writes"].size() > max_txn_writes || txn_json["when"].size() > 4 * max_txn_writes) return true;
  return std::any_of(txn_json["writes"].begin(), txn_json["writes"].end(), [&](const Json& write) {
    return write.contains("v") && write["v"].dump().size() > max_value_bytes;
  });
}

Response StateStore::execute_txn(const Json& txn_json) {
  if (too_large(txn_json)) return {400, "{}"};
  Json failed = Json::array();
  for (auto& condition : txn_json["when"]) {
    auto it = keys.find(condition["path"].get<std::string>());
    if ((it == keys.end() ? 0 : it->second.second) != condition["entry"].get<std::uint64_t>())
      failed.push_back(condition["path"]);
  }
  if (!failed.empty()) return {409, Json{{"failed", failed}, {"logline", revision_}}.dump()};
  if (txn_json["writes"].empty()) return {200, Json{{"logline", revision_}}.dump()};
  ++revision_;
  for (auto& write : txn_json["writes"]) {
    if (write.contains("drop")) {
      keys.erase(write["drop"].get<std::string>());
      changes_.push_back({{"drop", write["drop"]}, {"entry", revision_}});
      continue;
    }
    auto key = write["set"].get<std::string>();
    keys[key] = {write["v"], revision_};
    lease_by_key_.erase(key);
    if (write.contains("moorage")) lease_by_key_[key] = write["moorage"].get<std::uint64_t>();
    changes_.push_back({{"set", key}, {"v", write["v"]}, {"entry", revision_}});
  }
  return {200, Json{{"logline", revision_}}.dump()};
}

void StateStore::erase_and_log(const std::string& key) {
  keys.erase(key);
  changes_.push_back({{"drop", key}, {"entry", ++revision_}});
}

}  // namespace beaconsill::fakes
