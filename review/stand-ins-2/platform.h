// Stand-ins of the platform around the controllers: state service, cloud, workers, users and the links between
// controllers. All of them run in one process, on loopback addresses and the real clock. They follow the protocol
// page; a case only switches on the disruptions that it names. The controllers are separate processes.
#pragma once

#include <sys/types.h>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "protocol/json.h"

namespace standin {

using beaconsill::Duration;
using beaconsill::from_seconds;
using beaconsill::net::HttpClient;
using beaconsill::net::HttpServer;
using beaconsill::net::Request;
using beaconsill::net::Response;
using beaconsill::net::Result;
using beaconsill::net::Tcp;
using beaconsill::protocol::Json;

struct World;

// ---------------------------------------------------------------- settings of the deployment

struct MachineType {
  std::string name;
  double cpus, cards, memory, cache_gb, pull_gb_per_s, price, boot_s;
};
struct Team {
  std::string name;
  double cpus, cpus_max;
};
struct Deployment {
  std::vector<std::string> controller_zones{"enna-centrale", "nicosia-torre", "enna-centrale"};
  std::vector<std::string> zones{"enna-centrale", "nicosia-torre"};
  std::vector<MachineType> types{{"nodo-medio", 16, 0, 128, 60, 5.0, 1.25, 15}};
  std::vector<Team> teams{{"squadra-rete", 0, 0}};
  double report_s = 1, lease_s = 10, gang_wait_s = 35, gang_peer_s = 6, cancel_s = 40;
  double state_rps = 60, state_write_rps = 20, value_kb = 8;
  int txn_ops = 16;
  double next_write_rps = 0, next_value_kb = 0;  // limits to come (`state.next`), if any
  int next_txn_ops = 0;
  double cloud_rps = 4, list_lag_s = 5;
  double cpu = 0.12, mem_mb = 56;
  int max_connections = 600;
};

// ---------------------------------------------------------------- state service

class StateService {
 public:
  explicit StateService(World& world);
  std::vector<std::shared_ptr<HttpServer>> servers;  // one for each controller
  bool outage = false;
  std::vector<bool> refused;  // by controller: every request gets 503
  void set_outage(bool on);
  void set_refused(std::size_t controller, bool on);
  // Called before a request is carried out. Returns what happens to it.
  enum class Fate { kNormal, kLate, kAnswerLost, kSlow };
  std::function<Fate(std::size_t controller, const Request&)> fate;
  double late_s = 4, slow_s = 0.1;
  // Called after a transaction was carried out.
  std::function<void(std::size_t controller, const Json& txn)> on_txn;
  struct Item {
    Json value;
    std::uint64_t entry = 0;
    std::optional<std::uint64_t> hold;
  };
  std::map<std::string, Item> items;
  std::uint64_t logline = 0;
  std::map<int, int> statuses;

 private:
  struct Hold {
    double ttl_s;
    double ends_at;
    std::set<std::size_t> users;
  };
  void on_request(std::size_t controller, Request request, HttpServer::Reply reply);
  Response handle(std::size_t controller, const Request& request);
  Response txn(std::size_t controller, const Json& json, std::size_t bytes);
  void change(const std::string& key, const Json* value, std::optional<std::uint64_t> hold);
  void expire();
  bool take(double& level, double& at, double rate, double amount);
  World& world_;
  std::map<std::uint64_t, Hold> holds_;
  std::map<std::uint64_t, std::size_t> hold_owner_;
  std::uint64_t last_hold_ = 0;
  std::deque<Json> log_;
  double request_level_ = 0, request_at_ = 0, write_level_ = 0, write_at_ = 0;
};

// ---------------------------------------------------------------- workers and cloud

struct Task {
  std::string id, job;
  int index = 0;
  std::uint64_t attempt = 0;
  std::string state = "fetching", cause;
  bool stored = false;
  double since = 0, run_left = 0, run_from = 0;
  double mates_gone_at = 0;
  bool on_machine = false;
};

class Worker {
 public:
  Worker(World& world, std::string name, std::string type, std::string zone, bool spot);
  ~Worker();
  void stop();  // the machine is gone
  std::string name, type, zone;
  bool spot;
  bool gone = false;
  bool mute = false;       // its reports reach no controller
  bool deaf = false;       // answers to its reports, and direct commands, are lost
  bool no_direct = false;  // direct commands are lost
  bool sick = false;       // fails every task that it starts
  std::optional<double> recall_s;
  void hang(bool on);
  bool hanging() const { return hanging_; }
  double lease_ends() const { return lease_from + lease_s_; }
  std::map<std::string, std::shared_ptr<Task>> tasks;  // by id#attempt
  std::uint64_t watch = 1, tally = 0, helm = 0;
  double lease_from = 0;
  int answered = 0;
  std::size_t node = 0;
  std::shared_ptr<HttpServer> server;
  Json report();
  Response execute(const Json& commands);
  void run_signals(const Json& signals);
  void finish(const std::shared_ptr<Task>& task, const std::string& cause, bool stored = false);
  void changed();
  std::function<void(const Json& answer)> on_answer;
  void tick();

 private:
  void send_report();
  void schedule_report(double in_s);
  void start(const Json& signal);
  void expire_lease();
  World& world_;
  double lease_s_;
  bool hanging_ = false, in_flight_ = false;
  double last_report_at_ = -10, next_report_at_ = 0;
  std::uint64_t report_number_ = 0;
  std::shared_ptr<HttpClient> client_;
  std::map<std::string, double> images_;
  std::vector<std::pair<Request, HttpServer::Reply>> held_;
};

class Cloud {
 public:
  explicit Cloud(World& world);
  std::vector<std::shared_ptr<HttpServer>> servers;
  int capacity = 0;  // machines that can still be rented
  double boot_factor = 1;
  std::vector<std::string> deleted;

 private:
  Response handle(const Request& request);
  World& world_;
  std::map<std::string, Json> rented_;
};

// ---------------------------------------------------------------- controllers

class Controllers {
 public:
  Controllers(World& world, std::string binary, std::string folder);
  ~Controllers();
  void start(std::size_t i);
  void kill(std::size_t i);
  void signal(std::size_t i, int number);
  void reap();
  void stop_all();
  std::vector<pid_t> pids;
  std::vector<std::string> names;
  std::vector<Tcp::endpoint> user_ports, peer_ports;
  int unexpected_ends = 0;
  std::string log_level = "info";
  std::vector<std::string> run;  // by controller; in upgrades they differ

 private:
  std::string settings(std::size_t i) const;
  World& world_;
  std::string binary_, folder_;
  std::vector<bool> expected_;
};

// One direction of the connection between two controllers: from -> to.
class PeerLink {
 public:
  PeerLink(World& world, std::size_t from, std::size_t to);
  enum class Mode { kPass, kHold, kRefuse };
  void set(Mode mode);
  Mode mode() const { return mode_; }
  Tcp::endpoint local() const { return acceptor_.local_endpoint(); }
  struct Pipe;
  // Sees each chunk of bytes before it is passed on. Returns false to hold this pipe back until release().
  std::function<bool(Pipe&, const std::string& bytes)> on_bytes;
  std::vector<std::shared_ptr<Pipe>> pipes;
  void release(Pipe& pipe);

 private:
  void accept();
  World& world_;
  std::size_t from_, to_;
  Mode mode_ = Mode::kPass;
  asio::ip::tcp::acceptor acceptor_;
};

struct PeerLink::Pipe : std::enable_shared_from_this<Pipe> {
  explicit Pipe(asio::io_context& io) : in(io), out(io) {}
  Tcp::socket in, out;
  bool connected = false, writing = false, closed = false, held = false, in_closed = false;
  std::string pending;
  std::array<char, 65536> buffer{}, back{};
  PeerLink* link = nullptr;
  int number = 0;
  void read();
  void read_back();
  void flush();
  void close();
};

// ---------------------------------------------------------------- users and the checks

struct Job {
  Json spec;
  std::string id;
  double run_s = 10;
  double run_spread_s = 0;  // the tasks' run times differ by up to this much, in no order
  bool accepted = false;
  bool cancel_asked = false;
  double submitted_at = 0, accepted_at = 0, cancelled_at = 0, done_at = 0;
  std::string told;  // "", "open", "done" or "withdrawn"
  std::set<int> done_tasks;
  double all_done_at = 0;
  int starts = 0;
  // gangs
  double progress = 0;
  double last_answer = 0;
};

class Users {
 public:
  explicit Users(World& world) : world_(world) {}
  std::map<std::string, Job> jobs;
  Json make(const std::string& id, const std::string& shape, int tasks, double cpus, double run_s);
  Job& add(Json spec, double run_s);
  void submit(const std::string& id, std::size_t node, std::function<void(int)> done = {});
  // Repeats the submission at the nodes in turn until it is accepted.
  void submit_until_accepted(const std::string& id, std::size_t node, int tries = 60);
  void poll(const std::string& id, std::size_t node);
  void cancel(const std::string& id, std::size_t node, int tries = 200);
  void call(std::size_t node, const std::string& method, const std::string& path, const std::string& body,
            double timeout_s, std::function<void(const Result&)> done);

 private:
  void note(Job& job, const Result& result, double asked_at, const std::string& what);
  World& world_;
  std::vector<std::vector<std::shared_ptr<HttpClient>>> clients_;
  std::size_t next_ = 0;
};

class Ledger {
 public:
  explicit Ledger(World& world) : world_(world) {}
  void on(Worker& worker, Task& task);
  void off(Worker& worker, Task& task);
  void check();  // called often
  void violation(const std::string& rule, const std::string& text);
  std::map<std::string, int> violations;
  int starts = 0;
  std::set<std::pair<Worker*, Task*>> placed;

 private:
  World& world_;
  std::set<std::string> reported_;
};

// ---------------------------------------------------------------- all together

struct World {
  World(Deployment deployment, const std::string& binary, const std::string& record_path);
  ~World();
  Deployment deployment;
  asio::io_context io;
  std::mt19937_64 random{1};
  std::ofstream record;
  std::string folder;
  double now() const;
  void log(const std::string& text);
  void at(double in_s, std::function<void()> what);
  bool run_until(const std::function<bool()>& done, double limit_s);
  void run_for(double s) {
    run_until([] { return false; }, s);
  }
  double uniform(double low, double high) { return std::uniform_real_distribution<double>(low, high)(random); }
  Worker& add_machine(const std::string& type, const std::string& zone, bool spot = false);
  Worker* find_machine(const std::string& name);
  std::size_t node_of_name(const std::string& name) const;

  std::unique_ptr<StateService> state;
  std::unique_ptr<Cloud> cloud;
  std::unique_ptr<Controllers> controllers;
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<PeerLink>> links;
  std::vector<std::unique_ptr<Worker>> workers;
  std::vector<Json> listed;  // the cloud's machines with their times
  std::map<std::string, double> created, gone_at;
  Users users{*this};
  Ledger ledger{*this};
  void start();
  void stop();
  std::size_t count() const { return deployment.controller_zones.size(); }
  bool wait_until_ready(double limit_s = 40);
  // Waits until each controller leads the part of the machines that is its own.
  bool wait_until_home(double limit_s = 25);
  std::string role_holder(const std::string& role) const;
  std::size_t running(const std::string& job) const;

 private:
  void tick();
  std::chrono::steady_clock::time_point started_ = std::chrono::steady_clock::now();
  std::unique_ptr<asio::steady_timer> ticker_;
  int next_machine_ = 1;
  bool stopped_ = false;
};

Tcp::endpoint any_port();
std::string text_of(const Tcp::endpoint& endpoint);

}  // namespace standin
