#include "platform.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <asio/write.hpp>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace standin {
namespace {

std::map<std::string, std::string> parse_query(const std::string& query) {
  std::map<std::string, std::string> out;
  std::istringstream in(query);
  for (std::string item; std::getline(in, item, '&');) {
    auto equals = item.find('=');
    out[item.substr(0, equals)] = equals == std::string::npos ? "" : item.substr(equals + 1);
  }
  return out;
}

std::string short_body(const std::string& body) { return body.size() > 300 ? body.substr(0, 300) + "..." : body; }

std::string key_of(const std::string& id, std::uint64_t attempt) { return id + "#" + std::to_string(attempt); }

}  // namespace

Tcp::endpoint any_port() { return {asio::ip::make_address("127.0.0.1"), 0}; }
std::string text_of(const Tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// ---------------------------------------------------------------- state service

StateService::StateService(World& world) : world_(world) {
  refused.resize(world.count());
  for (std::size_t i = 0; i < world.count(); ++i) {
    beaconsill::net::ServerLimits limits;
    limits.max_body_bytes = 256 * 1024;
    servers.push_back(std::make_shared<HttpServer>(
        world.io, any_port(), limits, [](const Request&) { return false; },
        [this, i](Request request, HttpServer::Reply reply) {
          on_request(i, std::move(request), std::move(reply));
        }));
    servers.back()->start();
  }
}

void StateService::set_outage(bool on) {
  if (outage == on) return;
  outage = on;
  world_.log(std::string("state service: outage ") + (on ? "begins" : "ends"));
  if (!on)
    for (auto& [id, hold] : holds_) hold.ends_at = world_.now() + hold.ttl_s;
}

void StateService::set_refused(std::size_t controller, bool on) {
  refused[controller] = on;
  world_.log("state service: " + world_.controllers->names[controller] + (on ? " is refused" : " is served again"));
}

bool StateService::take(double& level, double& at, double rate, double amount) {
  const double now = world_.now();
  level = std::min(rate, level + (now - at) * rate);
  at = now;
  if (level < amount) return false;
  level -= amount;
  return true;
}

void StateService::on_request(std::size_t controller, Request request, HttpServer::Reply reply) {
  if (outage || refused[controller]) {
    ++statuses[503];
    return reply({503, R"({"error":"trouble"})"});
  }
  if (!take(request_level_, request_at_, world_.deployment.state_rps, 1)) {
    ++statuses[429];
    return reply({429, "{}"});
  }
  auto what = fate ? fate(controller, request) : Fate::kNormal;
  if (what == Fate::kLate) {
    world_.log("state service: held a request of " + world_.controllers->names[controller] + ": " + request.path +
               " " + short_body(request.body));
    world_.at(late_s, [this, controller, request] {
      auto response = handle(controller, request);
      world_.log("state service: carried out late, status " + std::to_string(response.status) + ": " +
                 short_body(request.body));
    });
    return;
  }
  if (what == Fate::kSlow) {
    world_.at(slow_s, [this, controller, request, reply] {
      if (outage || refused[controller]) return reply({503, R"({"error":"trouble"})"});
      reply(handle(controller, request));
    });
    return;
  }
  auto response = handle(controller, request);
  ++statuses[response.status];
  if (what == Fate::kAnswerLost) {
    world_.log("state service: answer lost: " + short_body(request.body));
    return;
  }
  const double delay = world_.uniform(0.002, 0.008);
  world_.at(delay, [response, reply] { reply(response); });
}

Response StateService::handle(std::size_t controller, const Request& request) {
  expire();
  auto parameters = parse_query(request.query);
  if (request.path == "/txn") {
    auto json = Json::parse(request.body, nullptr, false);
    if (json.is_discarded()) return {400, "{}"};
    auto response = txn(controller, json, request.body.size());
    if (on_txn && response.status == 200) on_txn(controller, json);
    return response;
  }
  if (request.path == "/holds") {
    auto json = Json::parse(request.body, nullptr, false);
    const double ttl = json.value("ttlMs", 1000) / 1000.0;
    holds_[++last_hold_] = {ttl, world_.now() + ttl, {}};
    return {200, Json{{"moorage", last_hold_}}.dump()};
  }
  if (request.path.starts_with("/holds/")) {
    auto id = std::strtoull(request.path.c_str() + 7, nullptr, 10);
    auto it = holds_.find(id);
    if (it == holds_.end()) return {404, "{}"};
    if (request.method == "DELETE") {
      it->second.ends_at = 0;
      expire();
      return {200, "{}"};
    }
    it->second.ends_at = world_.now() + it->second.ttl_s;
    return {200, Json{{"moorage", id}}.dump()};
  }
  if (request.path == "/watch") {
    const auto after = std::strtoull(parameters["after"].c_str(), nullptr, 10);
    const auto& under = parameters["under"];
    Json news = Json::array();
    for (const auto& change : log_)
      if (change["entry"].get<std::uint64_t>() > after &&
          (change.contains("set") ? change["set"] : change["drop"]).get_ref<const std::string&>().starts_with(under))
        news.push_back(change);
    return {200, Json{{"logline", logline}, {"news", news}}.dump()};
  }
  if (request.path == "/store") {
    const auto page = std::strtoull(parameters["page"].c_str(), nullptr, 10);
    Json rows = Json::array();
    bool more = false;
    for (auto it = items.upper_bound(parameters["after"]); it != items.end(); ++it) {
      if (!it->first.starts_with(parameters["under"])) continue;
      if (rows.size() >= page) {
        more = true;
        break;
      }
      rows.push_back({{"path", it->first}, {"v", it->second.value}, {"entry", it->second.entry}});
    }
    return {200, Json{{"rows", rows}, {"more", more}, {"logline", logline}}.dump()};
  }
  return {400, "{}"};
}

Response StateService::txn(std::size_t, const Json& json, std::size_t bytes) {
  const auto& d = world_.deployment;
  static const Json kNone = Json::array();
  const Json& when = json.contains("when") ? json["when"] : kNone;
  const Json& writes = json.contains("writes") ? json["writes"] : kNone;
  if (!writes.empty() &&
      !take(write_level_, write_at_, d.state_write_rps, static_cast<double>(writes.size())))
    return {429, "{}"};
  if (bytes > 64 * 1024 || writes.size() > static_cast<std::size_t>(d.txn_ops) ||
      when.size() > 4 * static_cast<std::size_t>(d.txn_ops))
    return {400, R"({"error":"too large"})"};
  for (const auto& write : writes) {
    if (write.contains("v") && static_cast<double>(write["v"].dump().size()) > d.value_kb * 1024)
      return {400, R"({"error":"too large"})"};
    if (write.contains("moorage") && !holds_.contains(write["moorage"].get<std::uint64_t>()))
      return {400, R"({"error":"no such lease"})"};
  }
  Json failed = Json::array();
  for (const auto& condition : when) {
    auto it = items.find(condition["path"].get<std::string>());
    if ((it == items.end() ? 0 : it->second.entry) != condition["entry"].get<std::uint64_t>())
      failed.push_back(condition["path"]);
  }
  if (!failed.empty()) return {409, Json{{"failed", failed}, {"logline", logline}}.dump()};
  if (!writes.empty()) ++logline;
  for (const auto& write : writes) {
    if (write.contains("drop")) {
      change(write["drop"].get<std::string>(), nullptr, std::nullopt);
    } else {
      std::optional<std::uint64_t> hold;
      if (write.contains("moorage")) hold = write["moorage"].get<std::uint64_t>();
      change(write["set"].get<std::string>(), &write["v"], hold);
    }
  }
  return {200, Json{{"logline", logline}}.dump()};
}

void StateService::change(const std::string& key, const Json* value, std::optional<std::uint64_t> hold) {
  if (value) {
    items[key] = {*value, logline, hold};
    log_.push_back({{"set", key}, {"v", *value}, {"entry", logline}});
  } else {
    if (items.erase(key) == 0) return;
    log_.push_back({{"drop", key}, {"entry", logline}});
  }
  if (log_.size() > 10000) log_.pop_front();
}

void StateService::expire() {
  if (outage) return;
  for (auto it = holds_.begin(); it != holds_.end();) {
    if (it->second.ends_at > world_.now()) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items)
      if (item.hold == it->first) keys.push_back(key);
    if (!keys.empty()) ++logline;
    for (const auto& key : keys) {
      world_.log("state service: lease ended, " + key + " is removed");
      change(key, nullptr, std::nullopt);
    }
    it = holds_.erase(it);
  }
}

// ---------------------------------------------------------------- workers

Worker::Worker(World& world, std::string worker_name, std::string worker_type, std::string worker_zone,
               bool worker_spot)
    : name(std::move(worker_name)),
      type(std::move(worker_type)),
      zone(std::move(worker_zone)),
      spot(worker_spot),
      world_(world),
      lease_s_(world.deployment.lease_s) {
  lease_from = world.now();
  node = static_cast<std::size_t>(world.random() % world.count());
  next_report_at_ = world.now() + world.uniform(0, 0.5);
  server = std::make_shared<HttpServer>(
      world.io, any_port(), beaconsill::net::ServerLimits{}, [](const Request&) { return false; },
      [this](Request request, HttpServer::Reply reply) {
        if (gone || deaf || no_direct) return;
        if (hanging_) {
          held_.emplace_back(std::move(request), std::move(reply));
          return;
        }
        if (request.path == "/inspect") return reply({200, report().dump()});
        if (request.path != "/do") return reply({404, "{}"});
        auto json = Json::parse(request.body, nullptr, false);
        if (json.is_discarded() || !json.contains("helm") || !json.contains("watch")) return reply({400, "{}"});
        reply(execute(json));
      });
  server->start();
}

Worker::~Worker() = default;

void Worker::stop() {
  if (gone) return;
  gone = true;
  for (auto& [key, task] : tasks)
    if (task->on_machine) world_.ledger.off(*this, *task);
  tasks.clear();
  server->stop();
  if (client_) client_->stop();
  world_.log("machine " + name + " is gone");
}

void Worker::hang(bool on) {
  if (hanging_ == on || gone) return;
  hanging_ = on;
  world_.log("machine " + name + (on ? " hangs" : " goes on"));
  if (on) return;
  tick();
  auto held = std::move(held_);
  held_.clear();
  for (auto& [request, reply] : held) {
    if (request.path == "/inspect") {
      reply({200, report().dump()});
      continue;
    }
    auto json = Json::parse(request.body, nullptr, false);
    if (!json.is_discarded()) reply(execute(json));
  }
}

Json Worker::report() {
  Json list = Json::array();
  for (const auto& [key, task] : tasks) {
    Json entry{{"lamp", task->id}, {"launch", task->attempt}, {"bearing", task->state}};
    if (task->state == "ended") entry["cause"] = task->cause;
    if (task->stored) entry["stored"] = true;
    list.push_back(std::move(entry));
  }
  return {{"beacon", name},    {"address", text_of(server->local())},
          {"hull", type},      {"harbour", zone},
          {"driftwood", spot}, {"watch", watch},
          {"tally", ++tally},  {"helm", helm},
          {"recallS", recall_s ? Json(*recall_s) : Json(nullptr)},
          {"lamps", list}};
}

Response Worker::execute(const Json& commands) {
  tick();
  const auto token = commands["helm"].get<std::uint64_t>();
  if (token < helm || commands["watch"].get<std::uint64_t>() != watch) return {409, report().dump()};
  if (token > helm) changed();
  helm = token;
  if (commands.contains("signals")) run_signals(commands["signals"]);
  return {200, report().dump()};
}

void Worker::run_signals(const Json& signals) {
  for (const auto& signal : signals) {
    const auto id = signal["lamp"].get<std::string>();
    const auto key = key_of(id, signal["launch"].get<std::uint64_t>());
    const auto op = signal["signal"].get<std::string>();
    auto it = tasks.find(key);
    world_.log("machine " + name + " " + op + " " + key);
    if (op == "run") {
      if (it == tasks.end()) start(signal);
    } else if (op == "kill") {
      if (it == tasks.end() || it->second->state == "ended") continue;
      auto& task = it->second;
      const auto& job = world_.users.jobs[task->job];
      const double mark = job.spec.value("markS", 0.0), stow = job.spec.value("stowS", 0.0);
      const double grace = signal["dousingS"].get<double>();
      if (task->state == "running" && mark > 0 && grace >= stow) {
        task->state = "saving";
        task->since = world_.now();
        changed();
      } else if (task->state == "saving" && grace >= stow) {
        continue;
      } else {
        finish(task, "halted");
      }
    } else if (op == "clear") {
      if (it != tasks.end() && it->second->state == "ended") tasks.erase(it);
    }
  }
}

void Worker::start(const Json& signal) {
  auto task = std::make_shared<Task>();
  task->id = signal["lamp"].get<std::string>();
  task->attempt = signal["launch"].get<std::uint64_t>();
  task->job = task->id.substr(0, task->id.find('/'));
  task->index = std::atoi(task->id.c_str() + task->id.find('/') + 1);
  task->since = world_.now();
  const auto key = key_of(task->id, task->attempt);
  changed();
  auto job = world_.users.jobs.find(task->job);
  auto refuse = [&](const char* cause) {
    task->state = "ended";
    task->cause = cause;
    tasks[key] = task;
    world_.log("machine " + name + " refuses " + key + ": " + cause);
  };
  if (job == world_.users.jobs.end() || task->index >= job->second.spec["lamps"].get<int>()) {
    world_.ledger.violation("invented", "machine " + name + " was sent " + key + ", which nobody submitted");
    return refuse("unknown");
  }
  for (const auto& [other_key, other] : tasks)
    if (other->id == task->id && other->state != "ended") return refuse("in_use");
  const auto& types = world_.deployment.types;
  auto t = std::find_if(types.begin(), types.end(), [&](const auto& x) { return x.name == type; });
  double cpus = t->cpus, memory = t->memory, cards = t->cards;
  for (const auto& [other_key, other] : tasks) {
    if (other->state == "ended") continue;
    const auto& spec = world_.users.jobs[other->job].spec;
    cpus -= spec["vcpus"].get<double>();
    memory -= spec["memoryGb"].get<double>();
    cards -= spec["cards"].get<double>();
  }
  const auto& spec = job->second.spec;
  if (cpus + 1e-6 < spec["vcpus"].get<double>() || memory + 1e-6 < spec["memoryGb"].get<double>() ||
      cards + 1e-6 < spec["cards"].get<double>())
    return refuse("full");
  tasks[key] = task;
  ++job->second.starts;
}

void Worker::finish(const std::shared_ptr<Task>& task, const std::string& cause, bool stored) {
  if (task->state == "ended") return;
  task->state = "ended";
  task->cause = cause;
  task->stored = stored;
  if (task->on_machine) world_.ledger.off(*this, *task);
  world_.log("machine " + name + " " + key_of(task->id, task->attempt) + " ended " + cause);
  if (cause == "done") {
    auto& job = world_.users.jobs[task->job];
    job.done_tasks.insert(task->index);
    if (job.done_tasks.size() == job.spec["lamps"].get<std::size_t>() && job.all_done_at == 0)
      job.all_done_at = world_.now();
  }
  changed();
}

void Worker::changed() { schedule_report(std::max(0.0, last_report_at_ + 0.5 - world_.now())); }

void Worker::schedule_report(double in_s) { next_report_at_ = std::min(next_report_at_, world_.now() + in_s); }

void Worker::expire_lease() {
  if (!tasks.empty())
    world_.log("machine " + name + ": its lease ended, " + std::to_string(tasks.size()) + " tasks are killed");
  for (auto& [key, task] : tasks)
    if (task->on_machine) world_.ledger.off(*this, *task);
  tasks.clear();
  ++watch;
  lease_from = world_.now();
  changed();
}

// Moves the tasks on, and reports when it is time.
void Worker::tick() {
  if (gone || hanging_) return;
  const double now = world_.now();
  if (now > lease_ends()) expire_lease();
  const auto& types = world_.deployment.types;
  auto t = std::find_if(types.begin(), types.end(), [&](const auto& x) { return x.name == type; });
  auto copy = tasks;
  for (auto& [key, task] : copy) {
    if (task->state == "ended") continue;
    auto& job = world_.users.jobs.at(task->job);
    const auto image = job.spec.value("cargo", "");
    const bool gang = job.spec["shape"] == "group";
    if (task->state == "fetching") {
      const double size = job.spec.value("sizeGb", 0.0);
      if (!images_.contains(image) && now - task->since < size / t->pull_gb_per_s) continue;
      images_[image] = now;
      if (job.done_tasks.contains(task->index)) {
        finish(task, "done");
        continue;
      }
      task->on_machine = true;
      world_.ledger.on(*this, *task);
      task->state = gang ? "waiting" : "running";
      task->since = now;
      task->run_left = job.run_s + job.run_spread_s * ((task->index * 619) % 1000) / 1000.0;
      changed();
    } else if (sick && task->state == "running") {
      if (now - task->since >= 0.3) finish(task, "error");
    } else if (task->state == "running" && !gang) {
      if (job.spec["shape"] != "daemon" && now - task->since >= task->run_left) finish(task, "done");
    } else if (task->state == "waiting" && now - task->since > world_.deployment.gang_wait_s) {
      finish(task, "alone");
    } else if (task->state == "saving" && now - task->since >= job.spec.value("stowS", 0.0)) {
      finish(task, "halted", true);
    }
    if (task->mates_gone_at > 0 && now >= task->mates_gone_at && task->state != "ended") finish(task, "mates_gone");
  }
  if (!in_flight_ && now >= next_report_at_) send_report();
}

void Worker::send_report() {
  const double sent = world_.now();
  const auto session = watch;
  last_report_at_ = sent;
  next_report_at_ = sent + world_.deployment.report_s * world_.uniform(0.75, 1.25);
  auto body = report().dump();
  in_flight_ = true;
  auto next_node = [this] {
    node = (node + 1) % world_.count();
    if (client_) client_->stop();
    client_.reset();
  };
  if (mute) {
    world_.at(1, [this, next_node] {
      in_flight_ = false;
      next_node();
    });
    return;
  }
  if (!client_) client_ = std::make_shared<HttpClient>(world_.io, world_.controllers->user_ports[node], 1);
  client_->request("POST", "/hello", body, std::chrono::seconds(4), [this, sent, session, next_node](Result result) {
    if (gone) return;
    auto again = [this](double in_s) {
      world_.at(in_s, [this] {
        in_flight_ = false;
        if (!gone) schedule_report(0);
      });
    };
    if (hanging_ || deaf) {
      // Whatever came is lost; the worker gives up 4 s after it sent the report.
      world_.at(std::max(0.0, sent + 5 - world_.now()), [this, next_node] {
        in_flight_ = false;
        next_node();
      });
      return;
    }
    if (result && result->status == 200) {
      in_flight_ = false;
      auto json = Json::parse(result->body, nullptr, false);
      if (json.is_discarded() || session != watch) return;
      const auto token = json.contains("helm") ? json["helm"].get<std::uint64_t>() : 0;
      if (on_answer) on_answer(json);
      if (token < helm) return;
      if (token > helm) changed();
      helm = token;
      lease_from = std::max(lease_from, sent);
      ++answered;
      if (json.contains("signals")) run_signals(json["signals"]);
      return;
    }
    if (result && result->status == 421) {
      auto json = Json::parse(result->body, nullptr, false);
      auto keeper = json.is_object() ? json.value("keeper", std::string()) : std::string();
      auto keeper_node = world_.node_of_name(keeper);
      if (keeper_node < world_.count() && keeper_node != node) {
        node = keeper_node;
        if (client_) client_->stop();
        client_.reset();
        return again(world_.uniform(0, 0.5));
      }
    }
    next_node();
    again(1);
  });
}

// ---------------------------------------------------------------- cloud

Cloud::Cloud(World& world) : world_(world) {
  for (std::size_t i = 0; i < world.count(); ++i) {
    servers.push_back(std::make_shared<HttpServer>(
        world.io, any_port(), beaconsill::net::ServerLimits{}, [](const Request&) { return false; },
        [this](Request request, HttpServer::Reply reply) {
          auto response = handle(request);
          world_.at(world_.uniform(0.05, 0.2), [reply, response] { reply(response); });
        }));
    servers.back()->start();
  }
}

Response Cloud::handle(const Request& request) {
  const auto& d = world_.deployment;
  if (request.path == "/catalog") {
    Json hulls = Json::array();
    for (const auto& t : d.types)
      hulls.push_back({{"sku", t.name}, {"vcpus", t.cpus}, {"cards", t.cards}, {"memoryGb", t.memory},
                       {"localGb", t.cache_gb}, {"pullGbPerS", t.pull_gb_per_s}, {"hourly", t.price},
                       {"lowPrice", t.price / 3}, {"readyS", t.boot_s}, {"harbours", d.zones}});
    return {200, Json{{"hulls", hulls}}.dump()};
  }
  if (request.path == "/machines" && request.method == "GET") {
    const double at = world_.now() - d.list_lag_s;
    auto parameters = parse_query(request.query);
    Json list = Json::array();
    for (const auto& machine : world_.listed) {
      const auto name = machine["ref"].get<std::string>();
      if (name <= parameters["after"] || world_.created[name] > at) continue;
      if (auto gone = world_.gone_at.find(name); gone != world_.gone_at.end() && gone->second <= at) continue;
      Json entry = machine;
      entry["heldS"] = at - world_.created[name];
      const double up_at = machine["upAt"].get<double>();
      entry["bearing"] = up_at <= at ? "running" : "starting";
      entry.erase("upAt");
      list.push_back(std::move(entry));
    }
    return {200, Json{{"beacons", list}, {"more", false}}.dump()};
  }
  auto json = Json::parse(request.body, nullptr, false);
  if (json.is_discarded()) return {400, "{}"};
  if (request.path == "/machines/delete") {
    for (const auto& name : json["beacons"]) {
      const auto text = name.get<std::string>();
      deleted.push_back(text);
      world_.log("cloud: " + text + " is deleted on request");
      if (!world_.gone_at.contains(text)) world_.gone_at[text] = world_.now();
      if (auto* worker = world_.find_machine(text)) worker->stop();
    }
    return {200, "{}"};
  }
  if (request.path == "/machines") {
    const auto charter = json["charter"].get<std::string>();
    if (auto it = rented_.find(charter); it != rented_.end()) return {200, it->second.dump()};
    if (capacity <= 0) return {503, R"({"error":"no capacity"})"};
    Json names = Json::array();
    for (int i = 0; i < json["count"].get<int>() && capacity > 0; ++i, --capacity) {
      auto& worker = world_.add_machine(json["hull"], json["harbour"], json["driftwood"].get<bool>());
      names.push_back(worker.name);
    }
    rented_[charter] = Json{{"beacons", names}};
    return {200, rented_[charter].dump()};
  }
  return {404, "{}"};
}

// ---------------------------------------------------------------- controllers

Controllers::Controllers(World& world, std::string binary, std::string folder)
    : world_(world), binary_(std::move(binary)), folder_(std::move(folder)) {
  pids.resize(world.count());
  run.assign(world.count(), binary_);
  expected_.resize(world.count());
  static std::vector<std::unique_ptr<Tcp::acceptor>> reserved;
  for (std::size_t i = 0; i < world.count(); ++i) {
    names.push_back("lantern-" + std::to_string(i));
    for (auto* ports : {&user_ports, &peer_ports}) {
      // Bound and not listening: the kernel gives the port to nobody else, and the controller can bind to it.
      auto acceptor = std::make_unique<Tcp::acceptor>(world.io);
      acceptor->open(Tcp::v4());
      acceptor->set_option(Tcp::acceptor::reuse_address(true));
      acceptor->bind(any_port());
      fcntl(acceptor->native_handle(), F_SETFD, FD_CLOEXEC);
      ports->push_back(acceptor->local_endpoint());
      reserved.push_back(std::move(acceptor));
    }
  }
}

Controllers::~Controllers() { stop_all(); }

std::string Controllers::settings(std::size_t i) const {
  const auto& d = world_.deployment;
  std::ostringstream s;
  s << std::fixed;
  s << "node = \"" << names[i] << "\"\narea = \"" << d.controller_zones[i] << "\"\nbind = \"" << text_of(user_ports[i])
    << "\"\ninternal_addr = \"" << text_of(peer_ports[i]) << "\"\n\n";
  for (std::size_t j = 0; j < world_.count(); ++j)
    if (j != i)
      s << "[[known]]\nnode = \"" << names[j] << "\"\narea = \"" << d.controller_zones[j] << "\"\npeer_addr = \""
        << text_of(world_.links.at({i, j})->local()) << "\"\n\n";
  s << "[external]\ncloud = \"" << text_of(world_.cloud->servers[i]->local()) << "\"\nstate = \""
    << text_of(world_.state->servers[i]->local()) << "\"\n\n[cluster]\ninitial_size = " << world_.count()
    << "\nzones = [";
  for (std::size_t z = 0; z < d.zones.size(); ++z) s << (z ? ", " : "") << '"' << d.zones[z] << '"';
  s << "]\nskew_ms = 5.0\n\n";
  for (const auto& team : d.teams)
    s << "[[cluster.teams]]\nname = \"" << team.name << "\"\ncpus = " << team.cpus << "\ncpus_max = " << team.cpus_max
      << "\ngpus = 0.0\ngpus_max = 0.0\n\n";
  s << "[cluster.workers]\nreport_s = " << d.report_s << "\nlease_s = " << d.lease_s << "\ngang_wait_s = "
    << d.gang_wait_s << "\ngang_peer_s = " << d.gang_peer_s << "\ncancel_s = " << d.cancel_s
    << "\n\n[cluster.state]\nrps = " << d.state_rps << "\nwrite_rps = " << d.state_write_rps << "\nvalue_kb = "
    << d.value_kb << "\ntxn_ops = " << d.txn_ops << "\n\n";
  if (d.next_value_kb > 0)
    s << "[cluster.state.next]\nwrite_rps = " << d.next_write_rps << "\nvalue_kb = " << d.next_value_kb << "\ntxn_ops = "
      << d.next_txn_ops << "\n\n";
  s << "[cluster.cloud]\nrps = " << d.cloud_rps << "\nlist_lag_s = "
    << d.list_lag_s << "\n\n[cluster.quota]\ncpu = " << d.cpu << "\nmem_mb = " << d.mem_mb << "\nmax_connections = "
    << d.max_connections << "\n";
  return s.str();
}

void Controllers::start(std::size_t i) {
  if (pids[i] > 0) return;
  const auto path = folder_ + "/" + names[i] + ".toml";
  std::ofstream(path) << settings(i);
  const auto log = folder_ + "/" + names[i] + ".log";
  // `run` of the deploy file: a program with its arguments; the settings file is added as the last one.
  std::vector<std::string> words;
  std::istringstream in(run[i]);
  for (std::string word; in >> word;) words.push_back(word);
  words.push_back(path);
  std::vector<char*> arguments;
  for (auto& word : words) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 2);
    dup2(fd, 1);
    for (int other = 3; other < 1024; ++other) ::close(other);
    setenv("LOG_LEVEL", log_level.c_str(), 1);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  pids[i] = pid;
  expected_[i] = false;
  world_.log("controller " + names[i] + " is started");
}

void Controllers::kill(std::size_t i) {
  if (pids[i] <= 0) return;
  world_.log("controller " + names[i] + " is killed");
  ::kill(pids[i], SIGKILL);
  waitpid(pids[i], nullptr, 0);
  pids[i] = 0;
}

void Controllers::signal(std::size_t i, int number) {
  if (pids[i] <= 0) return;
  world_.log("controller " + names[i] + " gets signal " + std::to_string(number));
  ::kill(pids[i], number);
}

void Controllers::reap() {
  for (std::size_t i = 0; i < pids.size(); ++i) {
    int status = 0;
    if (pids[i] > 0 && waitpid(pids[i], &status, WNOHANG) == pids[i]) {
      ++unexpected_ends;
      pids[i] = 0;
      world_.ledger.violation("ended", "controller " + names[i] + " ended by itself, status " + std::to_string(status));
    }
  }
}

void Controllers::stop_all() {
  for (std::size_t i = 0; i < pids.size(); ++i) {
    if (pids[i] <= 0) continue;
    ::kill(pids[i], SIGKILL);
    waitpid(pids[i], nullptr, 0);
    pids[i] = 0;
  }
}

// ---------------------------------------------------------------- links between controllers

PeerLink::PeerLink(World& world, std::size_t from, std::size_t to)
    : world_(world), from_(from), to_(to), acceptor_(world.io) {
  acceptor_.open(Tcp::v4());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(any_port());
  acceptor_.listen();
  accept();
}

void PeerLink::accept() {
  auto pipe = std::make_shared<Pipe>(world_.io);
  pipe->link = this;
  acceptor_.async_accept(pipe->in, [this, pipe](std::error_code error) {
    if (error) return;
    accept();
    if (mode_ == Mode::kRefuse) return pipe->close();
    pipe->number = static_cast<int>(pipes.size());
    pipes.push_back(pipe);
    pipe->out.async_connect(world_.controllers->peer_ports[to_], [pipe](std::error_code connect_error) {
      if (connect_error) return pipe->close();
      pipe->connected = true;
      std::error_code ignored;
      pipe->out.set_option(Tcp::no_delay(true), ignored);
      pipe->flush();
      pipe->read_back();
    });
    pipe->read();
  });
}

void PeerLink::set(Mode mode) {
  mode_ = mode;
  if (mode == Mode::kRefuse)
    for (auto& pipe : pipes) pipe->close();
  if (mode == Mode::kPass)
    for (auto& pipe : pipes)
      if (!pipe->closed) pipe->flush();
}

void PeerLink::release(Pipe& pipe) {
  pipe.held = false;
  pipe.flush();
}

void PeerLink::Pipe::read() {
  in.async_read_some(asio::buffer(buffer), [self = shared_from_this()](std::error_code error, std::size_t size) {
    if (self->closed) return;
    if (error) {
      self->in_closed = true;
      // What was sent before the end is still delivered, as by a network that holds packets.
      if (self->pending.empty() && !self->writing) self->close();
      return;
    }
    std::string bytes(self->buffer.data(), size);
    if (self->link->on_bytes && !self->link->on_bytes(*self, bytes)) self->held = true;
    self->pending += bytes;
    self->flush();
    self->read();
  });
}

void PeerLink::Pipe::read_back() {
  out.async_read_some(asio::buffer(back), [self = shared_from_this()](std::error_code error, std::size_t) {
    if (self->closed) return;
    if (error) return self->close();
    self->read_back();
  });
}

void PeerLink::Pipe::flush() {
  if (closed || !connected || writing || held || pending.empty() || link->mode_ == Mode::kHold) return;
  writing = true;
  auto bytes = std::make_shared<std::string>(std::move(pending));
  pending.clear();
  asio::async_write(out, asio::buffer(*bytes), [self = shared_from_this(), bytes](std::error_code error, std::size_t) {
    self->writing = false;
    if (self->closed) return;
    if (error) return self->close();
    if (self->pending.empty() && self->in_closed) return self->close();
    self->flush();
  });
}

void PeerLink::Pipe::close() {
  if (closed) return;
  closed = true;
  std::error_code ignored;
  in.close(ignored);
  out.close(ignored);
}

// ---------------------------------------------------------------- users

Json Users::make(const std::string& id, const std::string& shape, int tasks, double cpus, double run_s) {
  return {{"ref", id},        {"berth", "fatture"},  {"crew", world_.deployment.teams[0].name},
          {"shape", shape},   {"precedence", shape == "daemon" ? "production" : "standard"},
          {"lamps", tasks},   {"vcpus", cpus},       {"cards", 0.0},
          {"memoryGb", 1.0},  {"cargo", "img-01"},   {"sizeGb", 0.5},
          {"hulls", nullptr}, {"harbour", nullptr},  {"together", false},
          {"scatter", false}, {"driftwood", false},  {"reckonS", shape == "daemon" ? 0.0 : run_s},
          {"markS", 0.0},     {"stowS", 0.0},        {"tideS", nullptr}};
}

Job& Users::add(Json spec, double run_s) {
  Job job;
  job.id = spec["ref"].get<std::string>();
  job.spec = std::move(spec);
  job.run_s = run_s;
  auto id = job.id;
  return jobs[id] = std::move(job);
}

void Users::call(std::size_t node, const std::string& method, const std::string& path, const std::string& body,
                 double timeout_s, std::function<void(const Result&)> done) {
  auto client = std::make_shared<HttpClient>(world_.io, world_.controllers->user_ports[node], 1);
  const double asked = world_.now();
  client->request(method, path, body, from_seconds(timeout_s),
                  [this, client, done, node, method, path, asked](Result result) {
                    world_.log("user -> " + world_.controllers->names[node] + " " + method + " " + path + ": " +
                               (result ? std::to_string(result->status) + " " + result->body : "no answer") + " (" +
                               std::to_string(static_cast<int>((world_.now() - asked) * 1000)) + " ms)");
                    done(result);
                    world_.at(0, [client] { client->stop(); });
                  });
}

void Users::note(Job& job, const Result& result, double asked_at, const std::string& what) {
  if (!result) return;
  if (result->status == 200 || result->status == 404) job.last_answer = world_.now();
  if (result->status == 404 && job.accepted && job.accepted_at < asked_at)
    world_.ledger.violation("forgotten", job.id + " was accepted and is answered 404 (" + what + ")");
  if (what == "submit" && (result->status == 400 || result->status == 422) && job.accepted)
    world_.ledger.violation("forgotten", "repeated submission of " + job.id + " is answered " + std::to_string(result->status));
  if (result->status != 200 && result->status != 201) return;
  auto json = Json::parse(result->body, nullptr, false);
  const auto bearing = json.is_object() ? json.value("bearing", std::string()) : std::string();
  if (json.value("ref", std::string()) != job.id)
    world_.ledger.violation("foreign", "answer about another job than " + job.id + ": " + result->body);
  if (what == "submit" && !job.accepted) {
    job.accepted = true;
    job.accepted_at = world_.now();
  }
  if (job.submitted_at == 0) world_.ledger.violation("invented", job.id + " was not submitted, answer " + result->body);
  if (bearing == "done" && job.all_done_at == 0)
    world_.ledger.violation("not_done", job.id + " is called done, " + std::to_string(job.done_tasks.size()) + " tasks are");
  const bool final_told = (job.told == "done" && job.done_at < asked_at) ||
                          (job.told == "withdrawn" && job.cancelled_at < asked_at);
  if (final_told && bearing != job.told)
    world_.ledger.violation("went_back", job.id + " was called " + job.told + " and now " + bearing + " (" + what + ")");
  if (bearing == "withdrawn" && !job.cancel_asked && !job.spec.contains("awaits"))
    world_.ledger.violation("went_back", job.id + " is called withdrawn and nobody cancelled it");
  if (bearing == "done" && job.told != "done") {
    job.told = "done";
    job.done_at = world_.now();
  } else if (bearing == "withdrawn" && job.told != "withdrawn") {
    job.told = "withdrawn";
    job.cancelled_at = world_.now();
    world_.log("user: " + job.id + " was called withdrawn");
  }
}

void Users::submit(const std::string& id, std::size_t node, std::function<void(int)> done) {
  auto& job = jobs.at(id);
  const double asked = world_.now();
  if (job.submitted_at == 0) job.submitted_at = asked;
  call(node, "POST", "/v1/jobs", job.spec.dump(), 5, [this, id, asked, done](const Result& result) {
    note(jobs.at(id), result, asked, "submit");
    if (done) done(result ? result->status : 0);
  });
}

void Users::submit_until_accepted(const std::string& id, std::size_t node, int tries) {
  submit(id, node, [this, id, node, tries](int status) {
    if (status == 200 || status == 201 || status == 400 || status == 422 || tries <= 0) return;
    world_.at(1, [this, id, node, tries] { submit_until_accepted(id, (node + 1) % world_.count(), tries - 1); });
  });
}

void Users::poll(const std::string& id, std::size_t node) {
  const double asked = world_.now();
  call(node, "GET", "/v1/jobs/" + id, "", 2,
       [this, id, asked](const Result& result) { note(jobs.at(id), result, asked, "poll"); });
}

void Users::cancel(const std::string& id, std::size_t node, int tries) {
  auto& job = jobs.at(id);
  job.cancel_asked = true;
  const double asked = world_.now();
  call(node, "POST", "/v1/jobs/" + id + "/withdraw", "", 5, [this, id, node, asked, tries](const Result& result) {
    note(jobs.at(id), result, asked, "cancel");
    if (result && (result->status == 200 || result->status == 404)) return;
    if (tries > 0)
      world_.at(1, [this, id, node, tries] { cancel(id, (node + 1) % world_.count(), tries - 1); });
  });
}

// ---------------------------------------------------------------- the rules

void Ledger::violation(const std::string& rule, const std::string& text) {
  if (!reported_.insert(rule + text).second) return;
  ++violations[rule];
  world_.log("RULE BROKEN " + rule + ": " + text);
}

void Ledger::on(Worker& worker, Task& task) {
  ++starts;
  const double now = world_.now();
  auto& job = world_.users.jobs[task.job];
  world_.log("machine " + worker.name + " (" + worker.zone + ") starts " + key_of(task.id, task.attempt));
  std::map<std::string, int> zones;
  for (const auto& [other_worker, other] : placed) {
    if (other_worker->hanging() && now > other_worker->lease_ends()) continue;
    if (other->id == task.id && other_worker != &worker)
      violation("ran_twice", task.id + " is on " + other_worker->name + " and starts on " + worker.name);
    if (other->job == task.job && other->index != task.index) ++zones[other_worker->zone];
  }
  const auto& spec = job.spec;
  if (spec["together"] == true)
    for (const auto& [zone, count] : zones)
      if (zone != worker.zone)
        violation("wrong_place", task.id + " starts in " + worker.zone + " while others are in " + zone);
  if (spec["scatter"] == true && zones[worker.zone] + 1 > (spec["lamps"].get<int>() + 1) / 2)
    violation("wrong_place", task.id + " is one too many in " + worker.zone);
  if (!spec["harbour"].is_null() && spec["harbour"] != worker.zone)
    violation("wrong_place", task.id + " starts in " + worker.zone);
  if (worker.spot && spec["driftwood"] == false) violation("wrong_place", task.id + " starts on a spot machine");
  if (!spec["hulls"].is_null() && std::find(spec["hulls"].begin(), spec["hulls"].end(), worker.type) == spec["hulls"].end())
    violation("wrong_place", task.id + " starts on " + worker.type);
  if (job.told == "withdrawn" && now > job.cancelled_at + world_.deployment.cancel_s)
    violation("ran_cancelled", task.id + " starts although it is cancelled");
  if (spec.contains("awaits"))
    for (const auto& other : spec["awaits"])
      if (world_.users.jobs[other.get<std::string>()].all_done_at == 0)
        violation("too_early", task.id + " starts before " + other.get<std::string>() + " is done");
  placed.insert({&worker, &task});
  for (const auto& team : world_.deployment.teams) {
    if (team.cpus_max <= 0) continue;
    double used = 0;
    for (const auto& [other_worker, other] : placed) {
      if (other_worker->hanging() && now > other_worker->lease_ends()) continue;
      const auto& other_spec = world_.users.jobs[other->job].spec;
      if (other_spec["crew"] == team.name) used += other_spec["vcpus"].get<double>();
    }
    if (used > team.cpus_max + 1e-6)
      violation("quota", "team " + team.name + " uses " + std::to_string(used) + " CPUs when " + task.id + " starts");
  }
}

void Ledger::off(Worker& worker, Task& task) {
  task.on_machine = false;
  placed.erase({&worker, &task});
}

void Ledger::check() {
  const double now = world_.now();
  for (const auto& [worker, task] : placed) {
    if (worker->hanging() && now > worker->lease_ends()) continue;
    const auto& job = world_.users.jobs[task->job];
    if (job.told == "withdrawn" && now > job.cancelled_at + world_.deployment.cancel_s)
      violation("ran_cancelled", task->id + " is on " + worker->name + " longer than cancel_s after its user was told");
  }
}

// ---------------------------------------------------------------- all together

World::World(Deployment d, const std::string& binary, const std::string& record_path)
    : deployment(std::move(d)), record(record_path) {
  const char* temporary = std::getenv("TMPDIR");
  std::string pattern = std::string(temporary ? temporary : "/tmp") + "/review-XXXXXX";
  folder = mkdtemp(pattern.data());
  state = std::make_unique<StateService>(*this);
  cloud = std::make_unique<Cloud>(*this);
  controllers = std::make_unique<Controllers>(*this, binary, folder);
  for (std::size_t i = 0; i < count(); ++i)
    for (std::size_t j = 0; j < count(); ++j)
      if (i != j) links[{i, j}] = std::make_unique<PeerLink>(*this, i, j);
}

World::~World() { stop(); }

void World::start() {
  ticker_ = std::make_unique<asio::steady_timer>(io);
  tick();
  for (std::size_t i = 0; i < count(); ++i) {
    log(controllers->names[i] + " serves users and workers at " + text_of(controllers->user_ports[i]));
    controllers->start(i);
  }
  record.flush();
}

void World::stop() {
  if (stopped_) return;
  stopped_ = true;
  controllers->stop_all();
  if (!std::getenv("KEEP")) {
    const std::string command = "rm -rf '" + folder + "'";
    if (std::system(command.c_str()) != 0) std::cerr << "could not remove " << folder << '\n';
  } else {
    std::cerr << "logs: " << folder << '\n';
  }
}

double World::now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - started_).count();
}

void World::log(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ", now());
  record << time << text << '\n';
}

void World::at(double in_s, std::function<void()> what) {
  auto timer = std::make_shared<asio::steady_timer>(io, from_seconds(in_s));
  timer->async_wait([timer, what = std::move(what)](std::error_code error) {
    if (!error) what();
  });
}

bool World::run_until(const std::function<bool()>& done, double limit_s) {
  const double end = now() + limit_s;
  while (!done() && now() < end) io.run_one_for(std::chrono::milliseconds(5));
  return done();
}

Worker& World::add_machine(const std::string& type, const std::string& zone, bool spot) {
  char name[32];
  std::snprintf(name, sizeof name, "host-%06d", next_machine_++);
  const bool first = now() < 1;
  created[name] = first ? -300 : now();
  double boot = 0;
  for (const auto& t : deployment.types)
    if (t.name == type) boot = first ? 0 : t.boot_s * uniform(0.6, 1.5) * cloud->boot_factor;
  workers.push_back(std::make_unique<Worker>(*this, name, type, zone, spot));
  auto* worker = workers.back().get();
  listed.push_back({{"ref", name}, {"address", text_of(worker->server->local())}, {"hull", type}, {"harbour", zone},
                    {"driftwood", spot}, {"upAt", first ? -300 : now() + boot}});
  if (!first) {
    worker->hang(true);
    at(boot, [worker] {
      if (worker->gone) return;
      worker->lease_from = 1e9;
      worker->hang(false);
      worker->lease_from = 0;
    });
  }
  return *worker;
}

Worker* World::find_machine(const std::string& name) {
  for (auto& worker : workers)
    if (worker->name == name && !worker->gone) return worker.get();
  return nullptr;
}

std::size_t World::node_of_name(const std::string& name) const {
  for (std::size_t i = 0; i < count(); ++i)
    if (controllers->names[i] == name) return i;
  return count();
}

std::string World::role_holder(const std::string& role) const {
  auto it = state->items.find("beaconsill/roles/" + role);
  if (it == state->items.end()) return "";
  for (const char* field : {"owner", "holder", "node"})
    if (it->second.value.contains(field)) return it->second.value[field].get<std::string>();
  return "";
}

std::size_t World::running(const std::string& job) const {
  std::size_t count = 0;
  for (const auto& [worker, task] : ledger.placed) count += task->job == job && task->state == "running";
  return count;
}

bool World::wait_until_home(double limit_s) {
  return run_until(
      [&] {
        for (std::size_t i = 0; i < count(); ++i)
          if (role_holder("part/" + std::to_string(i)) != controllers->names[i]) return false;
        return true;
      },
      limit_s);
}

bool World::wait_until_ready(double limit_s) {
  auto healthy = std::make_shared<std::set<std::size_t>>();
  for (std::size_t i = 0; i < count(); ++i) {
    auto probe = std::make_shared<std::function<void()>>();
    *probe = [this, i, healthy, probe] {
      users.call(i, "GET", "/up", "", 1, [this, i, healthy, probe](const Result& result) {
        if (result && result->status == 200) {
          healthy->insert(i);
          return;
        }
        at(0.3, *probe);
      });
    };
    (*probe)();
  }
  return run_until(
      [&] {
        return healthy->size() == count() &&
               std::all_of(workers.begin(), workers.end(), [](const auto& w) { return w->answered >= 2; });
      },
      limit_s);
}

// Moves the machines on. The tasks of a gang find each other here by their attempt.
void World::tick() {
  for (std::size_t i = 0; i < workers.size(); ++i) workers[i]->tick();
  std::map<std::pair<std::string, std::uint64_t>, std::vector<std::pair<Worker*, Task*>>> gangs;
  for (const auto& [worker, task] : ledger.placed)
    if (users.jobs[task->job].spec["shape"] == "group") gangs[{task->job, task->attempt}].push_back({worker, task});
  for (auto& [key, members] : gangs) {
    auto& job = users.jobs[key.first];
    const auto size = job.spec["lamps"].get<std::size_t>();
    std::set<int> ready;
    bool any_running = false, all_alive = members.size() == size;
    for (auto& [worker, task] : members) {
      if (task->state == "waiting" || task->state == "running") ready.insert(task->index);
      any_running = any_running || task->state == "running" || task->state == "saving";
      all_alive = all_alive && !worker->hanging();
    }
    if (!any_running && ready.size() == size && all_alive) {
      log("gang " + key.first + " starts, attempt " + std::to_string(key.second));
      for (auto& [worker, task] : members) {
        task->state = "running";
        task->run_from = now();
        worker->changed();
      }
      continue;
    }
    if (!any_running) continue;
    if (!all_alive) {
      for (auto& [worker, task] : members)
        if (task->mates_gone_at == 0 && task->state == "running")
          task->mates_gone_at = now() + uniform(0.5, deployment.gang_peer_s);
      continue;
    }
    double from = 0;
    bool all_running = true;
    for (auto& [worker, task] : members) {
      from = std::max(from, task->run_from);
      all_running = all_running && task->state == "running";
    }
    if (all_running && now() - from >= job.run_s) {
      auto copy = members;
      for (auto& [worker, task] : copy) {
        auto& tasks = worker->tasks;
        auto it = tasks.find(key_of(task->id, task->attempt));
        if (it != tasks.end()) worker->finish(it->second, "done");
      }
    }
  }
  ledger.check();
  controllers->reap();
  ticker_->expires_after(std::chrono::milliseconds(20));
  ticker_->async_wait([this](std::error_code error) {
    if (!error && !stopped_) tick();
  });
}

}  // namespace standin
