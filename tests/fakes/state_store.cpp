#include "fakes/state_store.h"

#include <algorithm>

namespace beaconsill::fakes {

StateStore::StateStore(asio::io_context& io) {
  for (std::size_t i = 0; i < doors.size(); ++i) {
    doors[i] = std::make_shared<HttpServer>(
        io, any_port(), net::ServerLimits{}, [](const Request&) { return false; },
        [this, i](Request r, HttpServer::Reply reply) {
          if (down || shut[i]) {
            ++refused[r.path];
            return reply({503, "{}"});
          }
          if (silent) return unanswered.push_back(reply);
          auto request_fault = fault ? fault(r) : RequestFault::kNone;
          if (request_fault == RequestFault::kLate)
            return late_.emplace_back(std::move(r), std::move(reply)), void();
          ++requests[r.path];
          auto answer = handle(r);
          if (r.path == "/txn" && txn_answers_lost) return unanswered.push_back(reply);
          if (request_fault == RequestFault::kAnswerKept)
            return kept_.emplace_back(std::move(answer), std::move(reply)), void();
          reply(std::move(answer));
        });
    doors[i]->start();
  }
}

std::vector<int> StateStore::carry_out_late() {
  std::vector<int> statuses;
  for (auto& [request, reply] : late_) statuses.push_back(handle(request).status);
  late_.clear();
  return statuses;
}

void StateStore::answer_kept() {
  auto kept = std::move(kept_);
  kept_.clear();
  for (auto& [answer, reply] : kept) reply(std::move(answer));
}

void StateStore::set(const std::string& key, Json value) {
  keys[key] = {value, ++revision_};
  attached_.erase(key);
  log_.push_back({{"set", key}, {"v", std::move(value)}, {"entry", revision_}});
}

void StateStore::remove(const std::string& key) {
  drop(key);
  attached_.erase(key);
}

void StateStore::expire(std::uint64_t lease) {
  for (auto it = attached_.begin(); it != attached_.end();)
    if (it->second == lease) {
      drop(it->first);
      it = attached_.erase(it);
    } else {
      ++it;
    }
  holds_.erase(lease);
}

void StateStore::put(const std::string& key, Json value) {
  keys[key] = {value, ++revision_};
  log_.push_back({{"set", key}, {"v", std::move(value)}, {"entry", revision_}});
}

std::optional<std::uint64_t> StateStore::hold_of(const std::string& key) const {
  auto it = attached_.find(key);
  if (it == attached_.end()) return std::nullopt;
  return it->second;
}

Response StateStore::handle(const Request& r) {
  if (r.path == "/txn") return r.body.size() > kMaxTxn ? Response{413, "{}"} : txn(Json::parse(r.body));
  if (r.path == "/holds") {
    holds_.insert(++last_hold_);
    return {200, Json{{"moorage", last_hold_}}.dump()};
  }
  if (r.path.starts_with("/holds/")) {
    auto id = std::stoull(r.path.substr(7));
    return holds_.contains(id) ? Response{200, "{}"} : Response{404, "{}"};
  }
  auto q = parse_query(r.query);
  if (r.path == "/watch") {
    Json news = Json::array();
    for (auto& n : log_)
      if (n["entry"].get<std::uint64_t>() > std::stoull(q["after"])) news.push_back(n);
    return {200, Json{{"logline", revision_}, {"news", news}}.dump()};
  }
  if (r.path == "/store") {
    Json rows = Json::array();
    for (auto it = keys.upper_bound(q["after"]); it != keys.end(); ++it)
      if (it->first.starts_with(q["under"]))
        rows.push_back({{"path", it->first}, {"v", it->second.first}, {"entry", it->second.second}});
    return {200, Json{{"rows", rows}, {"more", false}, {"logline", revision_}}.dump()};
  }
  return {400, "{}"};
}

bool StateStore::too_large(const Json& t) const {
  if (t["writes"].size() > max_ops || t["when"].size() > 4 * max_ops) return true;
  return std::any_of(t["writes"].begin(), t["writes"].end(),
                     [&](const Json& w) { return w.contains("v") && w["v"].dump().size() > max_value; });
}

Response StateStore::txn(const Json& t) {
  if (too_large(t)) return {400, "{}"};
  Json failed = Json::array();
  for (auto& c : t["when"]) {
    auto it = keys.find(c["path"].get<std::string>());
    if ((it == keys.end() ? 0 : it->second.second) != c["entry"].get<std::uint64_t>())
      failed.push_back(c["path"]);
  }
  if (!failed.empty()) return {409, Json{{"failed", failed}, {"logline", revision_}}.dump()};
  if (t["writes"].empty()) return {200, Json{{"logline", revision_}}.dump()};
  ++revision_;
  for (auto& w : t["writes"]) {
    if (w.contains("drop")) {
      keys.erase(w["drop"].get<std::string>());
      log_.push_back({{"drop", w["drop"]}, {"entry", revision_}});
      continue;
    }
    auto key = w["set"].get<std::string>();
    keys[key] = {w["v"], revision_};
    attached_.erase(key);
    if (w.contains("moorage")) attached_[key] = w["moorage"].get<std::uint64_t>();
    log_.push_back({{"set", key}, {"v", w["v"]}, {"entry", revision_}});
  }
  return {200, Json{{"logline", revision_}}.dump()};
}

void StateStore::drop(const std::string& key) {
  keys.erase(key);
  log_.push_back({{"drop", key}, {"entry", ++revision_}});
}

}  // namespace beaconsill::fakes
