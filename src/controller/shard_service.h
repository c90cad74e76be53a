// The owner's duty: answers the workers of this controller's shards and carries out what their state machines
// wish.
#pragma once

#include <map>
#include <memory>

#include "controller/controller_context.h"
#include "controller/peer_service.h"
#include "net/http_server.h"
#include "shard/shard_manager.h"

namespace beaconsill::controller {

class ShardService {
 public:
  // `tell`: hands the leader what became of granted tasks.
  ShardService(ControllerContext& ctx, PeerService& peers,
               std::function<void(protocol::ProgressReport)> notify_leader);
  void start();
  void stop();

  void acquire_shard(ShardId shard, Term term);
  void release_shard(ShardId shard);
  // Peers told of owners: those of a higher term end this controller's acting, also when the state store
  // can't.
  void on_terms(const std::vector<protocol::ShardTerm>& terms);
  std::vector<protocol::ShardTerm> owned() const;
  bool is_stable(ShardId shard) const;
  bool owns(ShardId shard) const { return shards_.contains(shard); }

  void on_worker_heartbeat(const net::Request& r, const net::HttpServer::Reply& reply);
  // Reports that workers brought to another controller, and what became of those brought here.
  void on_relayed_heartbeat(const ControllerName& from, const protocol::RelayedHeartbeat& r);
  void on_relayed_reply(const protocol::RelayedReply& r);
  void on_view(const state_store::StateView::ChangeSet& t);
  void on_catalogue();
  void on_estimate_request(const protocol::EstimateRequest& a,
                           const std::function<void(protocol::EstimateResponse)>& answer);
  void on_machines_terminated(const std::vector<MachineName>& names);
  void on_release(const std::vector<MachineName>& names);
  // Carries out whatever is to be done, within a few milliseconds.
  void schedule_run();
  std::vector<protocol::Summary> summaries() const;
  std::uint32_t running(const JobId& id) const;

 private:
  struct Owned {
    std::unique_ptr<shard::ShardManager> shard;
    bool writing = false;
    bool registering = false;
    bool read = false;  // the state store was read after the term was written
    bool reading = false;
    Instant write_next{};  // when progress is looked through again for what is to be written
    Instant next_full_notification{};
    Term told;                                    // of the leader that was told everything
    std::map<JobId, Instant> unwritten_progress;  // since when
  };
  struct Channel {
    std::string address;
    std::shared_ptr<net::HttpClient> client;
    std::size_t under_way = 0;
    Instant used{};
  };
  // The connection to a machine; makes room for it among those to others.
  Channel& channel(const MachineName& m, const std::string& address, const net::Tcp::endpoint& at);
  void tick();
  void pump();
  void send(ShardId shard, shard::ShardManager::Batch b);
  void notify_leader(ShardId shard, Owned& o);
  void write_progress(ShardId shard, Owned& o);
  void write_registry(ShardId shard, Owned& o);
  void remove_machines(ShardId shard, Owned& o);
  void read_registry(ShardId shard, Owned& o);
  void load_registry(ShardId shard, shard::ShardManager& p);
  // All cancellations that users were told of before this time are known here.
  Instant cancellations_known_until() const;
  std::optional<ControllerName> owner_of(ShardId shard) const;
  void redirect(ShardId shard, const net::HttpServer::Reply& reply) const;
  // The owner's answer to a report, relayed or not.
  net::Response answer(Owned& o, ShardId id, const protocol::WorkerHeartbeat& r);
  void relay(ShardId shard, const std::string& heartbeat, const net::HttpServer::Reply& reply);
  // The shard if it's still owned under this term.
  Owned* find(ShardId shard, Term term);

  ControllerContext& ctx_;
  PeerService& peers_;
  std::function<void(protocol::ProgressReport)> notify_leader_;
  PeriodicTimer tick_;
  OneShotTimer soon_;
  std::map<ShardId, Owned> shards_;
  std::map<MachineName, Channel> channels_;
  std::size_t max_channels_;
  std::size_t max_relayed_;  // each holds the connection that it came by
  Instant last_pause_{};     // the last stand-still that the shards know of
  struct Pending {
    net::HttpServer::Reply reply;
    ShardId shard;
    Instant until;
  };
  std::map<std::uint64_t, Pending> pending_relays_;  // to their owners, not yet answered
  std::uint64_t next_relay_ = 1;
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
