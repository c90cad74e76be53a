// This repository's own stand-ins for the state store, the cloud and a worker, as far as the protocol needs
// for the service to run on loopback.
#pragma once

#include <asio/steady_timer.hpp>
#include <map>
#include <set>
#include <sstream>

#include "net/http_client.h"
#include "net/http_server.h"
#include "protocol/api.h"
#include "protocol/json.h"

namespace beaconsill::standin {

using net::HttpServer;
using net::Request;
using net::Response;
using net::Tcp;
using protocol::Json;

inline Tcp::endpoint any_port() {
  return {asio::ip::make_address("127.0.0.1"), 0};
}
inline std::string text(const Tcp::endpoint& e) {
  return e.address().to_string() + ":" + std::to_string(e.port());
}
inline std::map<std::string, std::string> query(const std::string& q) {
  std::map<std::string, std::string> out;
  std::istringstream in(q);
  for (std::string item; std::getline(in, item, '&');) {
    auto eq = item.find('=');
    out[item.substr(0, eq)] = eq == std::string::npos ? "" : item.substr(eq + 1);
  }
  return out;
}

class State {
 public:
  explicit State(asio::io_context& io) : io_(io) {
    for (std::size_t i = 0; i < doors.size(); ++i) {
      doors[i] = std::make_shared<HttpServer>(
          io, any_port(), net::ServerLimits{}, [](const Request&) { return false; },
          [this, i](Request r, HttpServer::Reply reply) {
            if (down || shut[i]) {
              ++refused[r.path];
              return reply({503, "{}"});
            }
            if (silent) return unanswered.push_back(reply);
            auto first_seen = trouble ? trouble(r) : Trouble::kNone;
            if (first_seen == Trouble::kLate)
              return late_.emplace_back(std::move(r), std::move(reply)), void();
            ++requests[r.path];
            auto answer = handle(r);
            if (r.path == "/txn" && txn_answers_lost) return unanswered.push_back(reply);
            if (first_seen == Trouble::kAnswerKept)
              return kept_.emplace_back(std::move(answer), std::move(reply)), void();
            reply(std::move(answer));
          });
      doors[i]->start();
    }
  }
  bool down = false;                 // for all
  std::size_t max_ops = SIZE_MAX;    // changes of a transaction
  std::size_t max_value = SIZE_MAX;  // bytes of a value
  std::array<bool, 2> shut{};        // for the controller that comes by this door
  bool silent = false;               // takes requests, and neither carries them out nor answers
  bool txn_answers_lost = false;     // transactions are carried out
  std::vector<HttpServer::Reply> unanswered;
  std::map<std::string, int> requests;  // carried out, by path
  std::map<std::string, int> refused;   // for an outage, by path
  std::array<std::shared_ptr<HttpServer>, 2> doors;
  std::map<std::string, std::pair<Json, std::uint64_t>> keys;
  // What befalls a request: carried out only by `carry_out_late` and never answered, or carried out at once
  // and answered by `answer_kept`.
  enum class Trouble { kNone, kLate, kAnswerKept };
  std::function<Trouble(const Request&)> trouble;
  std::size_t late() const { return late_.size(); }
  std::size_t kept() const { return kept_.size(); }
  // The statuses that they would have been answered with.
  std::vector<int> carry_out_late() {
    std::vector<int> statuses;
    for (auto& [request, reply] : late_) statuses.push_back(handle(request).status);
    late_.clear();
    return statuses;
  }
  void answer_kept() {
    auto kept = std::move(kept_);
    kept_.clear();
    for (auto& [answer, reply] : kept) reply(std::move(answer));
  }
  // A change by somebody else.
  void set(const std::string& key, Json value) {
    keys[key] = {value, ++revision_};
    attached_.erase(key);
    log_.push_back({{"set", key}, {"v", std::move(value)}, {"entry", revision_}});
  }
  void remove(const std::string& key) {
    drop(key);
    attached_.erase(key);
  }
  std::uint64_t revision() const { return revision_; }
  // Ends a controller's hold, as when it isn't renewed in time.
  void expire(std::uint64_t lease) {
    for (auto it = attached_.begin(); it != attached_.end();)
      if (it->second == lease) {
        drop(it->first);
        it = attached_.erase(it);
      } else {
        ++it;
      }
    holds_.erase(lease);
  }
  // Sets a key, as some other program would.
  void put(const std::string& key, Json value) {
    keys[key] = {value, ++revision_};
    log_.push_back({{"set", key}, {"v", std::move(value)}, {"entry", revision_}});
  }
  std::optional<std::uint64_t> hold_of(const std::string& key) const {
    auto it = attached_.find(key);
    if (it == attached_.end()) return std::nullopt;
    return it->second;
  }

 private:
  Response handle(const Request& r) {
    if (r.path == "/txn") return r.body.size() > kMaxTxn ? Response{413, "{}"} : txn(Json::parse(r.body));
    if (r.path == "/holds") {
      holds_.insert(++last_hold_);
      return {200, Json{{"moorage", last_hold_}}.dump()};
    }
    if (r.path.starts_with("/holds/")) {
      auto id = std::stoull(r.path.substr(7));
      return holds_.contains(id) ? Response{200, "{}"} : Response{404, "{}"};
    }
    auto q = query(r.query);
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
  static constexpr std::size_t kMaxTxn = std::size_t{64} * 1024;
  bool too_large(const Json& t) const {
    if (t["writes"].size() > max_ops || t["when"].size() > 4 * max_ops) return true;
    return std::any_of(t["writes"].begin(), t["writes"].end(),
                       [&](const Json& w) { return w.contains("v") && w["v"].dump().size() > max_value; });
  }
  Response txn(const Json& t) {
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
  void drop(const std::string& key) {
    keys.erase(key);
    log_.push_back({{"drop", key}, {"entry", ++revision_}});
  }

  asio::io_context& io_;
  std::vector<std::pair<Request, HttpServer::Reply>> late_;
  std::vector<std::pair<Response, HttpServer::Reply>> kept_;
  std::vector<Json> log_;
  std::set<std::uint64_t> holds_;
  std::map<std::string, std::uint64_t> attached_;
  std::uint64_t revision_ = 0, last_hold_ = 0;
};

// A worker whose array tasks complete after `run_reports` reports.
class Worker {
 public:
  Worker(asio::io_context& io, std::string name, std::string zone, std::vector<Tcp::endpoint> controllers,
         std::vector<std::string> names)
      : io_(io),
        name_(std::move(name)),
        zone_(std::move(zone)),
        controllers_(std::move(controllers)),
        names_(std::move(names)),
        timer_(io) {
    server = std::make_shared<HttpServer>(
        io, any_port(), net::ServerLimits{}, [](const Request&) { return false; },
        [this](Request r, HttpServer::Reply reply) { reply(handle(r)); });
    server->start();
    heartbeat();
  }
  void stop() {
    stopped_ = true;
    timer_.cancel();
    server->stop();
    if (client_) client_->stop();
  }
  struct Task {
    std::string id;
    std::uint64_t attempt;
    int age = 0;
    std::string state = "running";
    std::string cause;
  };
  std::vector<Task> tasks;
  std::set<std::string> services;  // job ids that never complete
  int run_reports = 3;
  int started = 0;
  int answered = 0;  // reports that were answered by an owner
  std::uint64_t token = 0;
  std::shared_ptr<HttpServer> server;

 private:
  Json body() {
    Json list = Json::array();
    for (auto& t : tasks) {
      Json e{{"lamp", t.id}, {"launch", t.attempt}, {"bearing", t.state}};
      if (t.state == "ended") e["cause"] = t.cause;
      list.push_back(e);
    }
    return {{"beacon", name_},      {"address", text(server->local())},
            {"hull", "t4"},         {"harbour", zone_},
            {"driftwood", false},   {"watch", 1},
            {"tally", ++sequence_}, {"helm", token},
            {"lamps", list}};
  }
  Response handle(const Request& r) {
    if (r.path != "/do") return {404, "{}"};
    auto j = Json::parse(r.body);
    if (j["helm"].get<std::uint64_t>() < token || j["watch"] != 1) return {409, body().dump()};
    token = j["helm"].get<std::uint64_t>();
    for (auto& c : j["signals"]) {
      auto id = c["lamp"].get<std::string>();
      auto attempt = c["launch"].get<std::uint64_t>();
      auto it = std::find_if(tasks.begin(), tasks.end(),
                             [&](auto& t) { return t.id == id && t.attempt == attempt; });
      if (c["signal"] == "run" && it == tasks.end()) {
        tasks.push_back({id, attempt});
        ++started;
      } else if (c["signal"] == "kill" && it != tasks.end() && it->state != "ended") {
        it->state = "ended";
        it->cause = "halted";
      } else if (c["signal"] == "clear" && it != tasks.end()) {
        tasks.erase(it);
      }
    }
    return {200, body().dump()};
  }
  void heartbeat() {
    if (stopped_) return;
    for (auto& t : tasks) {
      if (t.state == "running" && !services.contains(t.id.substr(0, t.id.find('/'))) &&
          ++t.age > run_reports) {
        t.state = "ended";
        t.cause = "done";
      }
    }
    if (!client_) client_ = std::make_shared<net::HttpClient>(io_, controllers_[at_], 1);
    client_->request("POST", "/hello", body().dump(), std::chrono::seconds(1), [this](net::Result r) {
      if (stopped_) return;
      if (r.status == 200) {
        auto helm = Json::parse(r.body)["helm"].get<std::uint64_t>();
        if (helm >= token) ++answered;
        token = std::max(token, helm);
      } else {
        std::size_t next = (at_ + 1) % controllers_.size();
        if (r.status == 421) {
          auto j = Json::parse(r.body);
          for (std::size_t i = 0; i < names_.size(); ++i)
            if (j.value("keeper", "") == names_[i]) next = i;
        }
        at_ = next;
        auto old = std::move(client_);
        client_.reset();
        old->stop();
      }
      timer_.expires_after(std::chrono::milliseconds(50));
      timer_.async_wait([this](std::error_code ec) {
        if (!ec) heartbeat();
      });
    });
  }

  asio::io_context& io_;
  std::string name_, zone_;
  std::vector<Tcp::endpoint> controllers_;
  std::vector<std::string> names_;
  asio::steady_timer timer_;
  std::shared_ptr<net::HttpClient> client_;
  std::size_t at_ = 0;
  std::uint64_t sequence_ = 0;
  bool stopped_ = false;
};

// Rents nothing; knows one type.
class Cloud {
 public:
  explicit Cloud(asio::io_context& io) {
    server = std::make_shared<HttpServer>(
        io, any_port(), net::ServerLimits{}, [](const Request&) { return false; },
        [this](Request r, HttpServer::Reply reply) {
          if (r.path == "/catalog")
            return reply(
                {200,
                 R"({"hulls":[{"sku":"t4","vcpus":4,"cards":0,"memoryGb":16,"localGb":20,"pullGbPerS":1.0,
              "hourly":1.0,"lowPrice":0.5,"readyS":5,"harbours":["east","west"]}]})"});
          if (r.path == "/machines" && r.method == "GET") ++lists;
          if (r.path == "/machines" && r.method == "GET" && lists_silent) return unanswered.push_back(reply);
          if (r.path == "/machines" && r.method == "GET")
            return reply({200, R"({"beacons":[],"more":false})"});
          if (r.path == "/machines/delete") {
            for (auto& n : Json::parse(r.body)["beacons"]) deleted.insert(n.get<std::string>());
            return reply({200, "{}"});
          }
          reply({503, R"({"error":"no capacity"})"});
        });
    server->start();
  }
  std::set<std::string> deleted;
  int lists = 0;              // requests for the list of machines
  bool lists_silent = false;  // they get no answer
  std::vector<HttpServer::Reply> unanswered;
  std::shared_ptr<HttpServer> server;
};

}  // namespace beaconsill::standin
