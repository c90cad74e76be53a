// One controller: the state machines of `shard` and `scheduler`, the view of `state_store` and the users'
// endpoints of `api`, connected to fakes as `controller` connects them to sockets. Its state lasts for one
// incarnation of its process.
#pragma once

#include <memory>

#include "api/api.h"
#include "scheduler/scheduler.h"
#include "shard/shard_manager.h"
#include "sim/environment.h"
#include "sim/heartbeats.h"
#include "sim/watch_cache.h"

namespace beaconsill::sim {

class Controller {
 public:
  Controller(int number, Environment& env) : number_(number), env_(env), clock_(env.queue) {}

  // A new process begins.
  void start();
  // The process ends, and another one begins some seconds later.
  void crash(double back_s);

  // Whether the state store was read since the process began.
  bool ready() const { return process_.watch_cache && process_.watch_cache->ready(); }
  const state_store::StateView& view() const { return process_.watch_cache->view(); }
  bool is_leader() const { return process_.scheduler != nullptr; }
  // The shards that this process leads, unless it knows that it lost them.
  std::vector<protocol::ShardTerm> led_shards() const;
  // Null unless it leads the shard.
  const shard::ShardManager* shard(ShardId id) const;

  // ---- What comes in
  void on_user(const net::Request& request, net::HttpServer::Reply reply);
  void on_worker_heartbeat(const protocol::WorkerHeartbeat& heartbeat, const Workers::Reply& reply);

 private:
  struct LedShard {
    std::unique_ptr<shard::ShardManager> shard;
    bool read = false;
    bool reading = false;
    bool writing = false;
    bool registering = false;
    double next_full_notification = 0;
    Term reported_to;  // term of the leader that got the last full report
    std::map<JobId, double> unwritten_progress;
  };
  struct RoleState {
    std::optional<Term> held;  // by this process
    bool acquiring = false;
    std::optional<double> vacant_since;
    std::optional<double> preferred_alive_since;  // while another controller holds the role
  };
  struct RelayedReply {
    ShardId shard;
    Workers::Reply reply;
  };
  struct Process {
    std::shared_ptr<WatchCache> watch_cache;
    std::shared_ptr<EndpointReader> endpoint_reader;
    std::unique_ptr<api::Api> api;
    std::unique_ptr<Heartbeats> heartbeats;
    double ticked = 0;
    std::map<ShardId, LedShard> shards;
    std::map<std::string, RoleState> roles;
    std::unique_ptr<scheduler::Scheduler> scheduler;
    Term leader_term;
    bool records_read = false;
    std::set<JobId> terminal_record;
    std::map<ShardId, protocol::Summary> summaries;
    std::map<std::uint64_t, RelayedReply> relayed;
    std::uint64_t next_relay = 0;
  };

  double now() const { return env_.queue.now(); }
  Instant instant() const { return env_.queue.instant(); }
  bool has_bug(SeededBug bug) const { return env_.options.seeded_bug == bug; }
  ControllerName name() const { return controller_name(number_); }
  void every(double period, void (Controller::*work)());
  // Runs at the other controller when the message arrives there.
  void send(int to, std::function<void(Controller&)> callback);
  void broadcast(const std::function<void(Controller&)>& callback);

  void tick();
  void renew_lease();
  void on_view(const state_store::StateView::ChangeSet& changes);

  // Other controllers (controller_peers.cpp)
  void send_heartbeats();
  void on_heartbeat(int from, const protocol::Heartbeat& heartbeat);
  // All cancellations disclosed by any controller before this time are known here.
  std::optional<Instant> cancellations_known_until() const;
  Heartbeats::Known known() const;
  void send_heartbeat(int to);
  void share_cancellations(const state_store::StateView::ChangeSet& changes);
  bool may_reveal_cancellation(const JobId& id) const;
  void send_summaries();
  void on_summary(const protocol::Summary& summary);
  std::optional<int> leader_of(ShardId id) const;
  void relay(ShardId id, const protocol::WorkerHeartbeat& heartbeat, const Workers::Reply& reply);
  void on_relayed_heartbeat(int from, std::uint64_t id, const protocol::WorkerHeartbeat& heartbeat);
  void on_relayed_reply(std::uint64_t id, const HeartbeatReply& answer);

  // Leader election (controller_leader_election.cpp)
  void check_roles();
  void check_role(const std::string& key, const state_store::Versioned<state_store::Role>& role,
                  std::optional<ShardId> shard);
  void lose_role(RoleState& state, std::optional<ShardId> shard);
  void keep_or_fail_back(RoleState& state, const std::string& key,
                         const state_store::Versioned<state_store::Role>& role, ShardId shard);
  int rank(std::optional<ShardId> shard) const;
  void acquire(const std::string& key, const state_store::Versioned<state_store::Role>& role,
               std::optional<ShardId> shard);
  void fail_back(const std::string& key, const state_store::Versioned<state_store::Role>& role,
                 ShardId shard);
  scheduler::ShardTerms terms() const;

  // Shards (controller_shards.cpp)
  void acquire_shard(ShardId id, Term term);
  LedShard* find(ShardId id, Term term);
  void publish(shard::ShardManager& shard, const JobId& job);
  void load_registry(ShardId id);
  void tick_shards();
  void tick_shard(ShardId id);
  void read_registry(ShardId id, LedShard& led);
  void notify_leader(ShardId id, LedShard& led);
  void write(ShardId id, Term term, const protocol::Txn& txn, bool LedShard::*flag);
  void write_registry(ShardId id, LedShard& led);
  void write_progress(ShardId id, LedShard& led);
  HeartbeatReply answer(LedShard& led, ShardId id, const protocol::WorkerHeartbeat& heartbeat);
  void command(ShardId id, Term term, const shard::ShardManager::Batch& batch);
  void remove(ShardId id, Term term, const MachineName& machine);
  void on_machine_terminated(const MachineName& machine);
  void on_estimate_request(int leader, const protocol::EstimateRequest& estimate_request);
  std::uint32_t running(const JobId& id) const;

  // Scheduler (controller_scheduler.cpp)
  void become_leader(Term term);
  void read_records();
  void tick_leader();
  void write_grants(const std::vector<scheduler::Scheduler::Grant>& grants);
  void write_terminal_records();
  void write_terminal_record(const JobId& id, const state_store::TerminalRecord& terminal_record);
  void collect_garbage();
  void publish_to_scheduler(const std::set<JobId>& jobs);
  void on_progress_report(const protocol::ProgressReport& report);
  void on_estimate_response(const protocol::EstimateResponse& response);

  int number_;
  Environment& env_;
  ServiceClock clock_;
  // Never run: deadlines of answers are real time, and nothing here waits for that.
  asio::io_context io_;
  Process process_;
};

}  // namespace beaconsill::sim
