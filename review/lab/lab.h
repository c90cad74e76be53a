// Stand-ins of the state service, the cloud, the workers and the users, and the start and end of the project's
// controllers as separate processes. All of it runs on loopback and on the real clock, in one thread. The stand-ins
// follow the protocol page, but for what no case needs: gangs wait for each other, machines fail, and image fetches share
// a machine's rate. Each case sets the disruption itself.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <cstdarg>
#include <cstdio>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"

namespace lab {

using Json = nlohmann::json;
using beaconsill::net::HttpClient;
using beaconsill::net::HttpServer;
using beaconsill::net::Request;
using beaconsill::net::Response;
using beaconsill::net::Result;
using beaconsill::net::ServerLimits;
using beaconsill::net::Tcp;
using SteadyClock = std::chrono::steady_clock;
using Time = SteadyClock::time_point;

inline SteadyClock::duration seconds(double value) {
  return std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(value));
}
inline double to_s(SteadyClock::duration value) {
  return std::chrono::duration<double>(value).count();
}

// ---------------------------------------------------------------- record and event loop

class Loop {
 public:
  explicit Loop(const std::string& record_path) : record_(record_path), started_(SteadyClock::now()) {}
  asio::io_context io;
  double now() const { return to_s(SteadyClock::now() - started_); }
  // Appends a line with the time since the start to the record.
  void log(const std::string& line) {
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", now());
    record_ << time << line << '\n' << std::flush;
  }
  // Calls `call` after the delay.
  void after(double delay_s, std::function<void()> call) {
    auto timer = std::make_shared<asio::steady_timer>(io, seconds(delay_s));
    timer->async_wait([timer, call = std::move(call)](std::error_code error) {
      if (!error) call();
    });
  }
  void run_for(double duration_s) {
    const auto end = SteadyClock::now() + seconds(duration_s);
    while (SteadyClock::now() < end) io.run_one_until(end);
  }
  // Returns whether `done` became true within the limit.
  bool run_until(const std::function<bool()>& done, double limit_s) {
    const auto end = SteadyClock::now() + seconds(limit_s);
    while (!done() && SteadyClock::now() < end) io.run_one_for(std::chrono::milliseconds(5));
    return done();
  }

 private:
  std::ofstream record_;
  Time started_;
};

inline std::string text(const Tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

// A loopback port that stays bound, without listening, so that the kernel gives it to nobody else; a process that sets
// SO_REUSEADDR can still listen there.
class ReservedPort {
 public:
  explicit ReservedPort(asio::io_context& io) : acceptor_(io) {
    acceptor_.open(Tcp::v4());
    acceptor_.set_option(Tcp::acceptor::reuse_address(true));
    acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
  }
  Tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

 private:
  Tcp::acceptor acceptor_;
};

inline std::shared_ptr<HttpServer> serve(asio::io_context& io, HttpServer::Handler handler) {
  ServerLimits limits;
  limits.max_connections = 1000;
  auto server = std::make_shared<HttpServer>(
      io, Tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}, limits, [](const Request&) { return false; },
      std::move(handler));
  server->start();
  return server;
}

inline std::map<std::string, std::string> parse_query(const std::string& query) {
  std::map<std::string, std::string> out;
  std::istringstream in(query);
  for (std::string item; std::getline(in, item, '&');) {
    auto equals = item.find('=');
    out[item.substr(0, equals)] = equals == std::string::npos ? "" : item.substr(equals + 1);
  }
  return out;
}

// ---------------------------------------------------------------- state service

class TokenBucket {
 public:
  explicit TokenBucket(double rate) : rate_(rate), level_(rate), updated_(SteadyClock::now()) {}
  bool take(double count) {
    const auto now = SteadyClock::now();
    level_ = std::min(rate_, level_ + rate_ * to_s(now - updated_));
    updated_ = now;
    if (level_ < count) return false;
    level_ -= count;
    return true;
  }

 private:
  double rate_, level_;
  Time updated_;
};

struct StateLimits {
  double rps = 200, write_rps = 30, value_kb = 32;
  std::size_t txn_ops = 20;
};

// One server per controller, all with the same content, so that a single controller can be refused.
class StateStore {
 public:
  StateStore(Loop& loop, std::size_t controllers, StateLimits limits)
      : refused(controllers, false), loop_(loop), limits_(limits), requests_(limits.rps), writes_(limits.write_rps) {
    for (std::size_t i = 0; i < controllers; ++i)
      servers_.push_back(serve(loop.io, [this, i](Request request, HttpServer::Reply reply) {
        reply(refused[i] ? Response{503, "{}"} : handle(request));
      }));
    tick();
  }
  // Requests of these controllers get 503.
  std::vector<bool> refused;
  Tcp::endpoint address(std::size_t controller) const { return servers_[controller]->local(); }
  const Json* find(const std::string& key) const {
    auto it = keys_.find(key);
    return it == keys_.end() ? nullptr : &it->second.value;
  }
  // Called with each change: the key, and its value or null.
  std::function<void(const std::string&, const Json*)> on_change;

 private:
  struct Entry {
    Json value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Lease {
    double ttl_s = 0;
    Time ends;
  };

  void tick() {
    for (auto it = leases_.begin(); it != leases_.end();)
      if (it->second.ends < SteadyClock::now()) {
        it = end_lease(it);
      } else {
        ++it;
      }
    loop_.after(0.02, [this] { tick(); });
  }
  std::map<std::uint64_t, Lease>::iterator end_lease(std::map<std::uint64_t, Lease>::iterator it) {
    std::vector<std::string> gone;
    for (auto& [key, entry] : keys_)
      if (entry.lease == it->first) gone.push_back(key);
    if (!gone.empty()) ++revision_;
    for (auto& key : gone) drop(key);
    return leases_.erase(it);
  }
  void drop(const std::string& key) {
    if (keys_.erase(key) == 0) return;
    changes_.push_back({{"drop", key}, {"entry", revision_}});
    if (on_change) on_change(key, nullptr);
  }
  Response handle(const Request& request) {
    if (!requests_.take(1)) return {429, "{}"};
    try {
      if (request.path == "/txn") return txn(Json::parse(request.body), request.body.size());
      if (request.path == "/holds") {
        const double ttl = Json::parse(request.body).at("ttlMs").get<double>() / 1000;
        leases_[++last_lease_] = {ttl, SteadyClock::now() + seconds(ttl)};
        return {200, Json{{"moorage", last_lease_}}.dump()};
      }
      if (request.path.starts_with("/holds/")) return hold(request);
      auto query = parse_query(request.query);
      if (request.path == "/watch") return watch(query);
      if (request.path == "/store") return list(query);
      if (request.path.starts_with("/store/")) {
        auto it = keys_.find(request.path.substr(7));
        if (it == keys_.end()) return {404, Json{{"logline", revision_}}.dump()};
        Json body{{"path", it->first}, {"v", it->second.value}, {"entry", it->second.revision}};
        if (it->second.lease) body["moorage"] = it->second.lease;
        return {200, body.dump()};
      }
    } catch (const std::exception&) {
    }
    return {400, "{}"};
  }
  Response hold(const Request& request) {
    auto it = leases_.find(std::stoull(request.path.substr(7)));
    if (it == leases_.end()) return {404, "{}"};
    if (request.method == "DELETE") {
      end_lease(it);
    } else {
      it->second.ends = SteadyClock::now() + seconds(it->second.ttl_s);
    }
    return {200, "{}"};
  }
  Response watch(std::map<std::string, std::string>& query) {
    // `holdMs` is 0 in all requests of the controllers, so that the answer comes at once.
    const auto after = std::stoull(query["after"]);
    Json news = Json::array();
    for (auto it = changes_.rbegin(); it != changes_.rend() && (*it)["entry"].get<std::uint64_t>() > after; ++it) {
      const auto& key = it->contains("set") ? (*it)["set"] : (*it)["drop"];
      if (key.get_ref<const std::string&>().starts_with(query["under"])) news.push_back(*it);
    }
    std::reverse(news.begin(), news.end());
    return {200, Json{{"logline", revision_}, {"news", std::move(news)}}.dump()};
  }
  Response list(std::map<std::string, std::string>& query) {
    const std::size_t page = std::min<std::size_t>(query.contains("page") ? std::stoull(query["page"]) : 1000, 1000);
    Json rows = Json::array();
    bool more = false;
    for (auto it = keys_.upper_bound(query["after"]); it != keys_.end(); ++it) {
      if (!it->first.starts_with(query["under"])) continue;
      if (rows.size() == page) {
        more = true;
        break;
      }
      rows.push_back({{"path", it->first}, {"v", it->second.value}, {"entry", it->second.revision}});
    }
    return {200, Json{{"rows", std::move(rows)}, {"more", more}, {"logline", revision_}}.dump()};
  }
  Response txn(const Json& json, std::size_t bytes) {
    const Json when = json.value("when", Json::array());
    const Json writes = json.value("writes", Json::array());
    if (bytes > 65536 || writes.size() > limits_.txn_ops || when.size() > 4 * limits_.txn_ops) return {400, "{}"};
    for (auto& write : writes) {
      if (!write.contains("set")) continue;
      if (static_cast<double>(write.at("v").dump().size()) > limits_.value_kb * 1024) return {400, "{}"};
      if (write.contains("moorage") && !leases_.contains(write["moorage"].get<std::uint64_t>()))
        return {400, R"({"error":"no such lease"})"};
    }
    if (!writes_.take(static_cast<double>(writes.size()))) return {429, "{}"};
    Json failed = Json::array();
    for (auto& condition : when) {
      auto it = keys_.find(condition.at("path").get<std::string>());
      if ((it == keys_.end() ? 0 : it->second.revision) != condition.at("entry").get<std::uint64_t>())
        failed.push_back(condition["path"]);
    }
    if (!failed.empty()) return {409, Json{{"failed", failed}, {"logline", revision_}}.dump()};
    if (!writes.empty()) ++revision_;
    for (auto& write : writes) {
      if (write.contains("drop")) {
        drop(write["drop"].get<std::string>());
        continue;
      }
      const auto key = write["set"].get<std::string>();
      keys_[key] = {write["v"], revision_, write.value("moorage", std::uint64_t{0})};
      changes_.push_back({{"set", key}, {"v", write["v"]}, {"entry", revision_}});
      if (on_change) on_change(key, &keys_[key].value);
    }
    return {200, Json{{"logline", revision_}}.dump()};
  }

  Loop& loop_;
  StateLimits limits_;
  TokenBucket requests_, writes_;
  std::vector<std::shared_ptr<HttpServer>> servers_;
  std::map<std::string, Entry> keys_;
  std::map<std::uint64_t, Lease> leases_;
  std::deque<Json> changes_;
  std::uint64_t revision_ = 0, last_lease_ = 0;
};

// ---------------------------------------------------------------- workers

struct WorkerTimes {
  double report_s = 1.5, lease_s = 10, gang_wait_s = 35, gang_peer_s = 6;
};

struct MachineType {
  std::string name;
  double cpus = 4, gpus = 0, memory_gb = 16, cache_gb = 50, fetch_gb_per_s = 1;
  double price = 1, spot_price = 0.3, boot_s = 5;
  std::vector<std::string> zones;
};

// What the users have submitted, as the workers fetch it, and the results that the platform keeps.
struct Jobs {
  std::map<std::string, Json> specs;           // by job id
  std::map<std::string, double> run_s;         // true run time by job id, or by task id; services have none
  std::set<std::string> done;                  // task ids
};

// One start of a task on a machine. It is on the machine from `on_at` (its image is there) until `off_at`.
struct Stay {
  std::string task;
  std::uint64_t attempt = 0;
  std::string machine;
  std::optional<double> on_at, off_at;
};

struct Ledger {
  std::deque<Stay> stays;
};

class Worker {
 public:
  Worker(Loop& loop, Jobs& jobs, Ledger& ledger, std::string name, MachineType type, std::string zone, bool spot,
         WorkerTimes times, std::vector<std::pair<std::string, Tcp::endpoint>> controllers)
      : loop_(loop),
        jobs_(jobs),
        ledger_(ledger),
        name_(std::move(name)),
        type_(std::move(type)),
        zone_(std::move(zone)),
        spot_(spot),
        times_(times),
        controllers_(std::move(controllers)),
        random_(std::hash<std::string>{}(name_)) {
    server_ = serve(loop.io, [this](Request request, HttpServer::Reply reply) { on_request(request, reply); });
    lease_from_ = SteadyClock::now();
    tick();
    report();
  }
  void stop() {
    if (stopped_) return;
    stopped_ = true;
    for (auto& [key, task] : tasks_)
      if (task.state != "ended") leave(task);
    tasks_.clear();
    server_->stop();
    if (client_) client_->stop();
  }
  bool stopped() const { return stopped_; }
  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  const MachineType& type() const { return type_; }
  bool spot() const { return spot_; }
  Tcp::endpoint address() const { return server_->local(); }
  std::uint64_t token() const { return token_; }
  std::size_t live() const {
    return static_cast<std::size_t>(
        std::count_if(tasks_.begin(), tasks_.end(), [](auto& entry) { return entry.second.state != "ended"; }));
  }
  // Whether a task that takes this much fits beside those that have not ended.
  bool has_room(double cpus, double memory_gb) const {
    for (auto& [key, task] : tasks_) {
      if (task.state == "ended") continue;
      const auto& each = jobs_.specs.at(job_of(key.first));
      cpus += each["vcpus"].get<double>();
      memory_gb += each["memoryGb"].get<double>();
    }
    return cpus <= type_.cpus && memory_gb <= type_.memory_gb;
  }
  // Tasks of the job in this state.
  std::size_t count(const std::string& job, const std::string& state) const {
    return static_cast<std::size_t>(std::count_if(tasks_.begin(), tasks_.end(), [&](auto& entry) {
      return entry.second.state == state && entry.first.first.starts_with(job + '/');
    }));
  }
  // While set, the machine reports that the cloud takes it away in so many seconds.
  std::optional<double> recall_s;

  Response execute(const Request& request) {
    if (request.path == "/inspect") return {200, body().dump()};
    if (request.path != "/do") return {404, "{}"};
    Json json;
    try {
      json = Json::parse(request.body);
      if (!json.contains("helm") || !json.contains("watch")) return {400, "{}"};
    } catch (const std::exception&) {
      return {400, "{}"};
    }
    check_lease();
    if (json["helm"].get<std::uint64_t>() < token_ || json["watch"].get<std::uint64_t>() != session_)
      return {409, body().dump()};
    raise_token(json["helm"].get<std::uint64_t>());
    execute_signals(json.value("signals", Json::array()), "direct");
    return {200, body().dump()};
  }

 private:
  struct Task {
    std::string id;
    std::uint64_t attempt = 0;
    std::string state, cause;
    bool stored = false;
    std::size_t stay = 0;
    std::uint64_t change = 0;  // number of the last change, so that an earlier timer does nothing
  };
  using Key = std::pair<std::string, std::uint64_t>;

  static std::string job_of(const std::string& task) { return task.substr(0, task.find('/')); }
  void log(const std::string& line) { loop_.log("worker " + name_ + ": " + line); }
  static std::string label(const Task& task) { return task.id + " launch " + std::to_string(task.attempt); }

  Json body() {
    Json list = Json::array();
    for (auto& [key, task] : tasks_) {
      Json entry{{"lamp", task.id}, {"launch", task.attempt}, {"bearing", task.state}};
      if (task.state == "ended") entry["cause"] = task.cause;
      if (task.stored) entry["stored"] = true;
      list.push_back(std::move(entry));
    }
    Json json{{"beacon", name_}, {"address", text(server_->local())}, {"hull", type_.name}, {"harbour", zone_},
              {"driftwood", spot_}, {"watch", session_}, {"tally", ++tally_}, {"helm", token_}, {"lamps", list}};
    json["recallS"] = recall_s ? Json(*recall_s) : Json();
    return json;
  }
  void on_request(const Request& request, const HttpServer::Reply& reply) {
    if (!stopped_) reply(execute(request));
  }
  void raise_token(std::uint64_t token) {
    if (token > token_) log("token " + std::to_string(token >> 20) + "." + std::to_string(token & 0xfffff));
    token_ = std::max(token_, token);
  }

  // ---- Commands
  void execute_signals(const Json& signals, const char* by) {
    for (auto& signal : signals) {
      const auto id = signal.at("lamp").get<std::string>();
      const auto attempt = signal.at("launch").get<std::uint64_t>();
      const auto kind = signal.at("signal").get<std::string>();
      const auto grace = signal.value("dousingS", 0.0);
      log(std::string(by) + " command " + kind + ' ' + id + " launch " + std::to_string(attempt) +
          (kind == "kill" ? " dousingS " + std::to_string(grace) : ""));
      auto it = tasks_.find({id, attempt});
      if (kind == "run" && it == tasks_.end()) {
        run(id, attempt);
      } else if (kind == "kill" && it != tasks_.end() && it->second.state != "ended") {
        kill(it->second, grace);
      } else if (kind == "clear" && it != tasks_.end() && it->second.state == "ended") {
        tasks_.erase(it);
      }
    }
  }
  void run(const std::string& id, std::uint64_t attempt) {
    auto& task = tasks_[{id, attempt}];
    task.id = id;
    task.attempt = attempt;
    task.state = "fetching";
    auto spec = jobs_.specs.find(job_of(id));
    if (spec == jobs_.specs.end()) return refuse(task, "unknown");
    double cpus = 0, gpus = 0, memory = 0;
    for (auto& [key, other] : tasks_) {
      if (other.state == "ended") continue;
      if (key.first == id && key.second != attempt) return refuse(task, "in_use");
      const auto& each = jobs_.specs.at(job_of(key.first));
      cpus += each["vcpus"].get<double>();
      gpus += each["cards"].get<double>();
      memory += each["memoryGb"].get<double>();
    }
    if (cpus > type_.cpus + 1e-6 || gpus > type_.gpus + 1e-6 || memory > type_.memory_gb + 1e-6)
      return refuse(task, "full");
    const auto image = spec->second["cargo"].get<std::string>();
    const double fetch =
        images_.contains(image) ? 0.01 : spec->second["sizeGb"].get<double>() / type_.fetch_gb_per_s;
    later(task, fetch, [this, image](Task& fetched) {
      images_.insert(image);
      start(fetched);
    });
    changed();
  }
  void refuse(Task& task, const char* cause) {
    task.state = "ended";
    task.cause = cause;
    log("refused " + label(task) + ' ' + cause);
    changed();
  }
  void start(Task& task) {
    task.state = "running";
    task.stay = ledger_.stays.size();
    ledger_.stays.push_back({task.id, task.attempt, name_, loop_.now(), {}});
    log("running " + label(task));
    if (jobs_.done.contains(task.id)) return end(task, "done");
    auto run_s = jobs_.run_s.find(task.id);
    if (run_s == jobs_.run_s.end()) run_s = jobs_.run_s.find(job_of(task.id));
    if (run_s != jobs_.run_s.end())
      later(task, run_s->second, [this](Task& complete) {
        jobs_.done.insert(complete.id);
        end(complete, "done");
      });
    changed();
  }
  void kill(Task& task, double grace) {
    const auto& spec = jobs_.specs.at(job_of(task.id));
    const bool saves = spec["markS"].get<double>() > 0 && grace >= spec["stowS"].get<double>();
    if (task.state == "running" && saves) {
      task.state = "saving";
      log("saving " + label(task));
      later(task, spec["stowS"].get<double>(), [this](Task& saved) {
        saved.stored = true;
        end(saved, "halted");
      });
      return changed();
    }
    if (task.state == "saving" && grace > 0) return;
    end(task, "halted");
  }
  void end(Task& task, const char* cause) {
    ++task.change;
    leave(task);
    task.state = "ended";
    task.cause = cause;
    log("ended " + label(task) + ' ' + cause);
    changed();
  }
  void leave(Task& task) {
    if (task.state == "running" || task.state == "saving") ledger_.stays[task.stay].off_at = loop_.now();
  }
  // Calls `call` with the task after the delay, unless the task has changed by then.
  void later(Task& task, double delay_s, std::function<void(Task&)> call) {
    const Key key{task.id, task.attempt};
    const auto change = task.change = ++last_change_;
    loop_.after(delay_s, [this, key, change, call = std::move(call)] {
      if (stopped_) return;
      auto it = tasks_.find(key);
      if (it != tasks_.end() && it->second.change == change) call(it->second);
    });
  }

  // ---- Reports and lease
  void tick() {
    if (stopped_) return;
    check_lease();
    loop_.after(0.02, [this] { tick(); });
  }
  void check_lease() {
    if (stopped_ || SteadyClock::now() - lease_from_ <= seconds(times_.lease_s)) return;
    log("lease expired, session " + std::to_string(session_ + 1));
    for (auto& [key, task] : tasks_)
      if (task.state != "ended") leave(task);
    tasks_.clear();
    ++session_;
    tally_ = 0;
    lease_from_ = SteadyClock::now();
    changed();
  }
  void changed() {
    if (reporting_ || stopped_) {
      report_again_ = true;
      return;
    }
    schedule_report(0.5);
  }
  // Sends the next report after the delay, but no sooner than half a second after the last one.
  void schedule_report(double delay_s) {
    auto due = std::max(SteadyClock::now() + seconds(delay_s >= 1 ? delay_s : 0), last_report_ + seconds(0.5));
    if (next_report_ && *next_report_ <= due) return;
    next_report_ = due;
    loop_.after(to_s(due - SteadyClock::now()), [this, due] {
      if (!stopped_ && !reporting_ && next_report_ == due) report();
    });
  }
  void report() {
    next_report_.reset();
    reporting_ = true;
    report_again_ = false;
    const auto sent = last_report_ = SteadyClock::now();
    const auto session = session_;
    if (!client_) client_ = std::make_shared<HttpClient>(loop_.io, controllers_[current_].second, 1);
    client_->request("POST", "/hello", body().dump(), seconds(4), [this, sent, session](const Result& result) {
      if (stopped_) return;
      reporting_ = false;
      on_answer(result, sent, session);
    });
  }
  void on_answer(const Result& result, Time sent, std::uint64_t session) {
    if (result && result->status == 200) {
      Json json;
      try {
        json = Json::parse(result->body);
      } catch (const std::exception&) {
      }
      const auto token = json.is_object() ? json.value("helm", std::uint64_t{0}) : 0;
      check_lease();
      if (token >= token_ && token > 0 && session == session_) {
        raise_token(token);
        lease_from_ = sent;
        execute_signals(json.value("signals", Json::array()), "answer");
      }
      return schedule_report(report_again_ ? 0.5 : times_.report_s * (0.75 + 0.5 * uniform_(random_)));
    }
    std::size_t next = (current_ + 1) % controllers_.size();
    double delay = 1;
    if (result && result->status == 421) {
      try {
        const auto keeper = Json::parse(result->body).value("keeper", std::string());
        for (std::size_t i = 0; i < controllers_.size(); ++i)
          if (controllers_[i].first == keeper && i != current_) next = i, delay = 0.1;
      } catch (const std::exception&) {
      }
    }
    current_ = next;
    if (client_) client_->stop();
    client_.reset();
    next_report_.reset();
    const auto due = SteadyClock::now() + seconds(delay);
    next_report_ = due;
    loop_.after(delay, [this, due] {
      if (!stopped_ && !reporting_ && next_report_ == due) report();
    });
  }

  Loop& loop_;
  Jobs& jobs_;
  Ledger& ledger_;
  std::string name_;
  MachineType type_;
  std::string zone_;
  bool spot_;
  WorkerTimes times_;
  std::vector<std::pair<std::string, Tcp::endpoint>> controllers_;
  std::mt19937 random_;
  std::uniform_real_distribution<double> uniform_{0, 1};
  std::shared_ptr<HttpServer> server_;
  std::shared_ptr<HttpClient> client_;
  std::map<Key, Task> tasks_;
  std::set<std::string> images_;
  std::uint64_t session_ = 1, tally_ = 0, token_ = 0, last_change_ = 0;
  std::size_t current_ = 0;
  Time lease_from_, last_report_{};
  std::optional<Time> next_report_;
  bool reporting_ = false, report_again_ = false, stopped_ = false;
};

// ---------------------------------------------------------------- cloud

struct CloudOptions {
  double list_lag_s = 3;
  double boot_factor = 1;  // of the type's usual boot time
  std::map<std::string, int> capacity;  // machines that may still be rented, by "type/zone/spot|ordinary"
};

class Cloud {
 public:
  using Boot = std::function<std::unique_ptr<Worker>(const std::string& name, const MachineType&,
                                                     const std::string& zone, bool spot)>;
  // One server per controller, with the same machines, so that the record shows which controller sent a request.
  Cloud(Loop& loop, std::vector<std::string> controllers, std::vector<MachineType> types, CloudOptions options, Boot boot)
      : loop_(loop),
        controllers_(std::move(controllers)),
        types_(std::move(types)),
        options_(std::move(options)),
        boot_(std::move(boot)) {
    for (std::size_t i = 0; i < controllers_.size(); ++i)
      servers_.push_back(serve(loop.io, [this, i](Request request, HttpServer::Reply reply) {
        reply(handle(request, controllers_[i]));
      }));
    tick();
  }
  Tcp::endpoint address(std::size_t controller) const { return servers_[controller]->local(); }
  // Adds a machine that is up already.
  Worker& add(const std::string& type, const std::string& zone, bool spot) {
    auto& machine = create(type_of(type), zone, spot);
    machine.worker = boot_(machine.name, type_of(type), zone, spot);
    return *machine.worker;
  }
  struct Rental {
    double at = 0;
    std::string controller, charter;
    int count = 0;
  };
  std::vector<Rental> rentals;  // those that were carried out
  std::vector<Worker*> workers() {
    std::vector<Worker*> out;
    for (auto& [name, machine] : machines_)
      if (machine.worker && !machine.worker->stopped()) out.push_back(machine.worker.get());
    return out;
  }
  Worker* find(const std::string& name) {
    auto it = machines_.find(name);
    return it == machines_.end() ? nullptr : it->second.worker.get();
  }
  void stop() {
    for (auto* worker : workers()) worker->stop();
    for (auto& server : servers_) server->stop();
  }

 private:
  struct Machine {
    std::string name, type, zone;
    bool spot = false;
    Time rented;
    std::unique_ptr<Worker> worker;  // null while it boots
  };
  const MachineType& type_of(const std::string& name) const {
    return *std::find_if(types_.begin(), types_.end(), [&](auto& type) { return type.name == name; });
  }
  Machine& create(const MachineType& type, const std::string& zone, bool spot) {
    char name[32];
    std::snprintf(name, sizeof(name), "host-%06d", ++last_);
    auto& machine = machines_[name];
    machine.name = name;
    machine.type = type.name;
    machine.zone = zone;
    machine.spot = spot;
    machine.rented = SteadyClock::now();
    return machine;
  }
  Json rows() const {
    Json out = Json::array();
    for (auto& [name, machine] : machines_)
      out.push_back({{"ref", name},
                     {"address", machine.worker ? Json(text(machine.worker->address())) : Json()},
                     {"hull", machine.type},
                     {"harbour", machine.zone},
                     {"driftwood", machine.spot},
                     {"bearing", machine.worker ? "running" : "starting"},
                     {"heldS", to_s(SteadyClock::now() - machine.rented)}});
    return out;
  }
  // Keeps what the list shows: the state of `list_lag_s` ago.
  void tick() {
    history_.push_back({SteadyClock::now(), rows()});
    while (history_.size() > 1 && SteadyClock::now() - history_[1].first > seconds(options_.list_lag_s))
      history_.pop_front();
    loop_.after(0.25, [this] { tick(); });
  }
  Response handle(const Request& request, const std::string& controller) {
    try {
      if (request.path == "/catalog") return catalog();
      if (request.path == "/machines" && request.method == "GET") return list(parse_query(request.query));
      if (request.path == "/machines") return rent(Json::parse(request.body), controller);
      if (request.path == "/machines/delete") return remove(Json::parse(request.body), controller);
    } catch (const std::exception&) {
    }
    return {400, "{}"};
  }
  Response catalog() const {
    Json hulls = Json::array();
    for (auto& type : types_)
      hulls.push_back({{"sku", type.name}, {"vcpus", type.cpus}, {"cards", type.gpus}, {"memoryGb", type.memory_gb},
                       {"localGb", type.cache_gb}, {"pullGbPerS", type.fetch_gb_per_s}, {"hourly", type.price},
                       {"lowPrice", type.spot_price}, {"readyS", type.boot_s}, {"harbours", type.zones}});
    return {200, Json{{"hulls", hulls}}.dump()};
  }
  Response list(std::map<std::string, std::string> query) const {
    const std::size_t page = std::min<std::size_t>(query.contains("page") ? std::stoull(query["page"]) : 500, 500);
    Json beacons = Json::array();
    bool more = false;
    for (auto& row : history_.front().second) {
      if (row["ref"].get_ref<const std::string&>() <= query["after"]) continue;
      if (beacons.size() == page) {
        more = true;
        break;
      }
      beacons.push_back(row);
    }
    return {200, Json{{"beacons", beacons}, {"more", more}}.dump()};
  }
  Response rent(const Json& json, const std::string& controller) {
    const auto charter = json.at("charter").get<std::string>();
    if (auto known = charters_.find(charter); known != charters_.end()) return {200, known->second};
    const auto type = json.at("hull").get<std::string>();
    const auto zone = json.at("harbour").get<std::string>();
    const bool spot = json.at("driftwood").get<bool>();
    auto& free = options_.capacity[type + '/' + zone + (spot ? "/spot" : "/ordinary")];
    const int count = std::min(free, json.at("count").get<int>());
    loop_.log("cloud: " + controller + " asks for " + charter + ", " + std::to_string(json.at("count").get<int>()) + ' ' + type + " in " +
              zone + "; rented: " + std::to_string(count));
    if (count == 0) return {503, R"({"error":"no capacity"})"};
    free -= count;
    Json names = Json::array();
    for (int i = 0; i < count; ++i) {
      auto& machine = create(type_of(type), zone, spot);
      names.push_back(machine.name);
      loop_.after(type_of(type).boot_s * options_.boot_factor, [this, name = machine.name] {
        auto it = machines_.find(name);
        if (it == machines_.end()) return;
        auto& up = it->second;
        up.worker = boot_(name, type_of(up.type), up.zone, up.spot);
        loop_.log("cloud: " + name + " is up");
      });
    }
    rentals.push_back({loop_.now(), controller, charter, count});
    return {200, charters_[charter] = Json{{"beacons", names}}.dump()};
  }
  Response remove(const Json& json, const std::string& controller) {
    for (auto& name : json.at("beacons")) {
      auto it = machines_.find(name.get<std::string>());
      if (it == machines_.end()) continue;
      loop_.log("cloud: " + controller + " deletes " + it->first);
      if (it->second.worker) {
        it->second.worker->stop();
        gone_.push_back(std::move(it->second.worker));
      }
      machines_.erase(it);
    }
    return {200, "{}"};
  }

  Loop& loop_;
  std::vector<std::string> controllers_;
  std::vector<MachineType> types_;
  CloudOptions options_;
  Boot boot_;
  std::vector<std::shared_ptr<HttpServer>> servers_;
  std::map<std::string, Machine> machines_;
  std::vector<std::unique_ptr<Worker>> gone_;
  std::map<std::string, std::string> charters_;
  std::deque<std::pair<Time, Json>> history_;
  int last_ = 0;
};

// ---------------------------------------------------------------- controllers as processes

class Process {
 public:
  // Starts `command` with one more argument; standard error goes to the file `log`.
  Process(std::vector<std::string> command, const std::string& argument, const std::string& log)
      : command_(std::move(command)), argument_(argument), log_(log) {
    command_.push_back(argument_);
  }
  ~Process() { kill_now(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  void start() {
    std::vector<char*> arguments;
    for (auto& part : command_) arguments.push_back(part.data());
    arguments.push_back(nullptr);
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(log_.c_str(), O_CREAT | O_APPEND | O_WRONLY, 0644);
    dup2(file, 2);
    dup2(file, 1);
    for (int fd = 3; fd < 1024; ++fd) close(fd);
    execvp(arguments[0], arguments.data());
    _exit(127);
  }
  void signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  // Returns the wait status if the process has ended by itself.
  std::optional<int> ended() {
    int status = 0;
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
    pid_ = 0;
    return status;
  }
  void kill_now() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::kill(pid_, SIGCONT);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  bool running() const { return pid_ > 0; }

 private:
  std::vector<std::string> command_;
  std::string argument_, log_;
  pid_t pid_ = 0;
};

// ---------------------------------------------------------------- deployment

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};

struct Options {
  std::vector<std::string> command;  // the deploy file's `run`, split at spaces
  std::string folder;                // for settings and logs
  std::string record;
  std::vector<std::string> areas{"dar-hall", "moshi-vault", "dar-hall"};  // of the controllers
  std::vector<std::string> zones{"dar-hall", "moshi-vault"};
  std::vector<Team> teams{{"archive-ops"}};
  WorkerTimes times;
  double cancel_s = 40;
  StateLimits state;
  double cloud_rps = 5;
  double cpu = 0.2, memory_mb = 72;
  int max_connections = 1000;
  std::vector<MachineType> types;
  CloudOptions cloud;
  std::string log_level = "info";
};

struct HttpAnswer {
  int status = 0;  // 0: no response
  Json body;
  std::optional<int> retry_after_s;
};

class Deployment {
 public:
  explicit Deployment(Options options) : options_(std::move(options)), loop(options_.record) {
    for (std::size_t i = 0; i < options_.areas.size(); ++i) {
      user_ports_.push_back(std::make_unique<ReservedPort>(loop.io));
      peer_ports_.push_back(std::make_unique<ReservedPort>(loop.io));
    }
    state = std::make_unique<StateStore>(loop, options_.areas.size(), options_.state);
    std::vector<std::string> names;
    for (std::size_t i = 0; i < options_.areas.size(); ++i) names.push_back(node(i));
    cloud = std::make_unique<Cloud>(loop, names, options_.types, options_.cloud,
                                    [this](const std::string& name, const MachineType& type, const std::string& zone,
                                           bool spot) { return boot(name, type, zone, spot); });
  }
  ~Deployment() {
    for (auto& controller : controllers) controller->kill_now();
    cloud->stop();
  }

 private:
  Options options_;

 public:
  Loop loop;
  Jobs jobs;
  Ledger ledger;
  std::unique_ptr<StateStore> state;
  std::unique_ptr<Cloud> cloud;
  std::vector<std::unique_ptr<Process>> controllers;

  static std::string node(std::size_t i) { return "lantern-" + std::to_string(i); }
  Tcp::endpoint user_address(std::size_t i) const { return user_ports_[i]->endpoint(); }
  Tcp::endpoint peer_address(std::size_t i) const { return peer_ports_[i]->endpoint(); }

  void start_controllers() {
    setenv("LOG_LEVEL", options_.log_level.c_str(), 1);
    for (std::size_t i = 0; i < options_.areas.size(); ++i) {
      const auto path = options_.folder + "/" + node(i) + ".toml";
      std::ofstream(path) << settings(i);
      controllers.push_back(
          std::make_unique<Process>(options_.command, path, options_.folder + "/" + node(i) + ".log"));
      controllers.back()->start();
    }
  }
  // Waits until every controller answers /up with 200.
  bool wait_until_up(double limit_s) {
    std::vector<bool> up(controllers.size(), false);
    std::function<void(std::size_t)> ask = [&](std::size_t i) {
      call(i, "GET", "/up", "", 1, [&, i](const HttpAnswer& answer) {
        up[i] = answer.status == 200;
        if (!up[i]) loop.after(0.1, [&, i] { ask(i); });
      });
    };
    for (std::size_t i = 0; i < controllers.size(); ++i) ask(i);
    const bool ok = loop.run_until([&] { return std::all_of(up.begin(), up.end(), [](bool is) { return is; }); }, limit_s);
    loop.log(ok ? "all controllers are up" : "not all controllers came up");
    return ok;
  }
  // Waits until each shard is led by the controller that is preferred for it, and there is a leader.
  bool wait_until_settled(double limit_s) {
    const bool ok = loop.run_until(
        [&] {
          if (holder("leader").empty()) return false;
          for (std::size_t i = 0; i < controllers.size(); ++i)
            if (holder("part/" + std::to_string(i)) != node(i)) return false;
          return true;
        },
        limit_s);
    loop.log(ok ? "each shard is led by its preferred controller; the leader is " + holder("leader")
                : "the shards did not reach their preferred controllers");
    return ok;
  }
  // The controller that holds the role, by the state service; empty if none does.
  std::string holder(const std::string& role) const {
    const Json* json = state->find("beaconsill/roles/" + role);
    if (!json) return "";
    for (const char* field : {"node", "holder", "owner"})
      if (json->contains(field)) return (*json)[field].get<std::string>();
    return "";
  }
  std::size_t index_of(const std::string& name) const {
    for (std::size_t i = 0; i < options_.areas.size(); ++i)
      if (node(i) == name) return i;
    return options_.areas.size();
  }

  // Sends one request on a connection of its own.
  void call(std::size_t controller, const std::string& method, const std::string& path, const std::string& body,
            double timeout_s, std::function<void(const HttpAnswer&)> done) {
    auto client = std::make_shared<HttpClient>(loop.io, user_address(controller), 1);
    client->request(method, path, body, seconds(timeout_s),
                    [this, client, done = std::move(done)](const Result& result) {
                      HttpAnswer answer;
                      if (result) {
                        answer.status = result->status;
                        answer.retry_after_s = result->retry_after_s;
                        answer.body = Json::parse(result->body, nullptr, false);
                      }
                      asio::post(loop.io, [client] { client->stop(); });
                      done(answer);
                    });
  }
  // A user's request, repeated as the protocol says until it is answered for good: submissions and cancellations.
  // `choose` gives the controller for each try.
  void ask(const std::string& path, const std::string& body, std::function<std::size_t()> choose,
           std::function<void(const HttpAnswer&)> done) {
    const auto controller = choose();
    call(controller, "POST", path, body, 5, [=, this](const HttpAnswer& answer) {
      loop.log("user: POST " + path + " at " + node(controller) + " -> " + std::to_string(answer.status) +
               (answer.body.is_object() ? " " + answer.body.dump() : ""));
      const bool final = answer.status == 200 || answer.status == 201 || answer.status == 400 || answer.status == 404 ||
                         answer.status == 422;
      if (final) return done(answer);
      const double delay = std::clamp(static_cast<double>(answer.retry_after_s.value_or(1)), 1.0, 30.0);
      loop.after(delay, [=, this] { ask(path, body, choose, done); });
    });
  }
  // Submits a job and waits for the final answer.
  bool submit(const Json& spec, std::optional<double> run_s, std::size_t controller, double limit_s = 30) {
    const auto id = spec["ref"].get<std::string>();
    jobs.specs[id] = spec;
    if (run_s) jobs.run_s[id] = *run_s;
    int status = 0;
    ask("/v1/jobs", spec.dump(), [controller] { return controller; },
        [&](const HttpAnswer& answer) { status = answer.status; });
    loop.run_until([&] { return status != 0; }, limit_s);
    return status == 201 || status == 200;
  }
  std::size_t count(const std::string& job, const std::string& task_state) {
    std::size_t sum = 0;
    for (auto* worker : cloud->workers()) sum += worker->count(job, task_state);
    return sum;
  }
  // Logs the end of a controller that nobody ended. Returns whether there was one.
  bool any_ended() {
    bool any = false;
    for (std::size_t i = 0; i < controllers.size(); ++i)
      if (auto status = controllers[i]->ended()) {
        any = true;
        loop.log(node(i) + " ended by itself, wait status " + std::to_string(*status));
      }
    return any;
  }

 private:
  std::unique_ptr<Worker> boot(const std::string& name, const MachineType& type, const std::string& zone, bool spot) {
    std::vector<std::pair<std::string, Tcp::endpoint>> addresses;
    const auto first = std::hash<std::string>{}(name) % options_.areas.size();
    for (std::size_t i = 0; i < options_.areas.size(); ++i) {
      const auto index = (first + i) % options_.areas.size();
      addresses.emplace_back(node(index), user_address(index));
    }
    return std::make_unique<Worker>(loop, jobs, ledger, name, type, zone, spot, options_.times, addresses);
  }
  std::string settings(std::size_t i) const {
    std::ostringstream out;
    auto quoted = [](const std::string& value) { return '"' + value + '"'; };
    out << "node = " << quoted(node(i)) << "\narea = " << quoted(options_.areas[i])
        << "\nbind = " << quoted(text(user_address(i))) << "\ninternal_addr = " << quoted(text(peer_address(i))) << '\n';
    for (std::size_t peer = 0; peer < options_.areas.size(); ++peer) {
      if (peer == i) continue;
      out << "[[known]]\nnode = " << quoted(node(peer)) << "\narea = " << quoted(options_.areas[peer])
          << "\npeer_addr = " << quoted(text(peer_address(peer))) << '\n';
    }
    out << "[external]\ncloud = " << quoted(text(cloud->address(i))) << "\nstate = " << quoted(text(state->address(i)))
        << "\n[cluster]\ninitial_size = " << options_.areas.size() << "\nskew_ms = 5.0\nzones = [";
    for (std::size_t zone = 0; zone < options_.zones.size(); ++zone)
      out << (zone ? ", " : "") << quoted(options_.zones[zone]);
    out << "]\n" << std::showpoint;
    for (auto& team : options_.teams)
      out << "[[cluster.teams]]\nname = " << quoted(team.name) << "\ncpus = " << team.cpus
          << "\ncpus_max = " << team.cpus_max << "\ngpus = " << team.gpus << "\ngpus_max = " << team.gpus_max << '\n';
    out << "[cluster.workers]\nreport_s = " << options_.times.report_s << "\nlease_s = " << options_.times.lease_s
        << "\ngang_wait_s = " << options_.times.gang_wait_s << "\ngang_peer_s = " << options_.times.gang_peer_s
        << "\ncancel_s = " << options_.cancel_s << "\n[cluster.state]\nrps = " << options_.state.rps
        << "\nwrite_rps = " << options_.state.write_rps << "\nvalue_kb = " << options_.state.value_kb
        << "\ntxn_ops = " << options_.state.txn_ops << "\n[cluster.cloud]\nrps = " << options_.cloud_rps
        << "\nlist_lag_s = " << options_.cloud.list_lag_s << "\n[cluster.quota]\ncpu = " << options_.cpu
        << "\nmem_mb = " << options_.memory_mb << "\nmax_connections = " << options_.max_connections << '\n';
    return out.str();
  }

  std::vector<std::unique_ptr<ReservedPort>> user_ports_, peer_ports_;
};

// A job's description with the usual values; the caller changes what matters.
inline Json job(const std::string& id, const char* shape, const char* precedence, int tasks) {
  return {{"ref", id},       {"berth", "plate-recalib"}, {"crew", "archive-ops"}, {"shape", shape},
          {"precedence", precedence}, {"lamps", tasks},  {"vcpus", 1.0},          {"cards", 0.0},
          {"memoryGb", 1.0}, {"cargo", "img-1"},         {"sizeGb", 0.2},         {"hulls", nullptr},
          {"harbour", nullptr}, {"together", false},     {"scatter", false},      {"driftwood", false},
          {"reckonS", 20.0}, {"markS", 0.0},             {"stowS", 0.0},          {"tideS", nullptr}};
}

// The exit codes of a case.
constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

inline std::vector<std::string> split(const std::string& line) {
  std::istringstream in(line);
  std::vector<std::string> parts;
  for (std::string part; in >> part;) parts.push_back(part);
  return parts;
}

// Arguments of a case's program: RUN FOLDER RECORD. `trouble` is false with TROUBLE=0 in the environment.
struct Arguments {
  std::vector<std::string> command;
  std::string folder, record;
  bool trouble = true;
};
inline std::optional<Arguments> parse_arguments(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: %s RUN FOLDER RECORD\n", argv[0]);
    return std::nullopt;
  }
  const char* trouble = std::getenv("TROUBLE");
  return Arguments{split(argv[1]), argv[2], argv[3], !trouble || std::string(trouble) != "0"};
}

}  // namespace lab
