// Simulates one controller: the state machines of the packages `shard` and `scheduler`, the view of
// `state_store` and the users' endpoints of `api`, connected to fakes in the way that the package
// `controller` connects them to sockets. A restart of the controller's process discards all of this state.
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

  // Starts a new incarnation of the process.
  void start();
  // Ends the process and starts a new one `restart_delay_s` seconds later.
  void crash(double restart_delay_s);

  // Returns whether the process has read the state store since it started.
  bool ready() const { return process_.watch_cache && process_.watch_cache->ready(); }
  const state_store::StateView& view() const { return process_.watch_cache->view(); }
  bool is_leader() const { return process_.scheduler != nullptr; }
  // The shards that this process leads, except those for which it has learned of a newer leader.
  std::vector<protocol::ShardTerm> led_shards() const;
  // Returns null unless this process leads the shard.
  const shard::ShardManager* shard(ShardId id) const;

  // ---- Incoming requests
  void on_user_request(const net::Request& request, net::HttpServer::Reply reply);
  void on_worker_heartbeat(const protocol::WorkerHeartbeat& heartbeat, const Workers::Reply& reply);

 private:
  struct LedShard {
    std::unique_ptr<shard::ShardManager> shard;
    bool registry_read = false;
    bool registry_read_in_progress = false;
    bool progress_write_in_progress = false;
    bool registry_write_in_progress = false;
    double next_full_report_at = 0;                    // time (s)
    Term fully_reported_leader_term;                   // of the leader to which the last full report was sent
    std::map<JobId, double> progress_unwritten_since;  // time (s)
  };
  struct RoleState {
    std::optional<Term> held_term;  // set while this process holds the role
    bool acquiring = false;
    std::optional<double> vacant_since;
    std::optional<double> preferred_alive_since;  // of a shard led here with another preferred controller
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
    double last_tick_s = 0;
    std::map<ShardId, LedShard> shards;
    std::map<std::string, RoleState> roles;
    std::unique_ptr<scheduler::Scheduler> scheduler;
    Term leader_term;
    bool records_read = false;
    std::set<JobId> pending_terminal_records;
    std::map<ShardId, protocol::Summary> summaries;
    std::map<std::uint64_t, RelayedReply> relayed_replies;
    std::uint64_t next_relay_id = 0;
  };

  double now() const { return env_.queue.now(); }
  Instant instant() const { return env_.queue.instant(); }
  bool has_bug(SeededBug bug) const { return env_.options.seeded_bug == bug; }
  ControllerName name() const { return controller_name(number_); }
  void every(double period, void (Controller::*task)());
  // Sends a message to another controller; `callback` runs there when the message arrives.
  void send(int to, std::function<void(Controller&)> callback);
  void broadcast(const std::function<void(Controller&)>& callback);

  void tick();
  void renew_lease();
  void on_view_changed(const state_store::StateView::ChangeSet& changes);

  // Communication with other controllers (controller_peers.cpp)
  void send_heartbeats();
  void on_heartbeat(int from, const protocol::Heartbeat& heartbeat);
  // This controller knows all cancellations that any controller has confirmed to users before this time.
  std::optional<Instant> cancellations_known_until() const;
  Heartbeats::LocalView local_view() const;
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
  void check_fail_back(RoleState& state, const std::string& key,
                       const state_store::Versioned<state_store::Role>& role, ShardId shard);
  int rank(std::optional<ShardId> shard) const;
  void acquire(const std::string& key, const state_store::Versioned<state_store::Role>& role,
               std::optional<ShardId> shard);
  void fail_back(const std::string& key, const state_store::Versioned<state_store::Role>& role,
                 ShardId shard);
  scheduler::ShardTerms terms() const;

  // Shards (controller_shards.cpp)
  void acquire_shard(ShardId id, Term term);
  LedShard* find_led_shard(ShardId id, Term term);
  void publish_to_shard(shard::ShardManager& shard, const JobId& job);
  void load_registry(ShardId id);
  void tick_shards();
  void tick_shard(ShardId id);
  void read_registry(ShardId id, LedShard& led);
  void notify_leader(ShardId id, LedShard& led);
  void commit_shard_txn(ShardId id, Term term, const protocol::Txn& txn, bool LedShard::*in_progress);
  void write_registry(ShardId id, LedShard& led);
  void write_progress(ShardId id, LedShard& led);
  HeartbeatReply process_heartbeat(LedShard& led, ShardId id, const protocol::WorkerHeartbeat& heartbeat);
  void send_commands(ShardId id, Term term, const shard::ShardManager::Batch& batch);
  void delete_machine(ShardId id, Term term, const MachineName& machine);
  void on_machine_terminated(const MachineName& machine);
  void on_estimate_request(int leader, const protocol::EstimateRequest& estimate_request);
  std::uint32_t count_running_tasks(const JobId& id) const;

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
  // Never run: the API's response deadlines use real time, and the simulation does not wait for them.
  asio::io_context io_;
  Process process_;
};

}  // namespace beaconsill::sim
