// One controller: wires the packages together and runs the duties until it's stopped.
#pragma once

#include <memory>

#include "api/api.h"
#include "controller/leader_election.h"
#include "controller/peer_service.h"
#include "controller/scheduler_service.h"
#include "controller/shard_service.h"
#include "protocol/paging.h"

namespace beaconsill::controller {

// Owns all duties of one controller, its clients and its server; the event loop and the clock have to outlive
// it. Constructor: config::ConfigError if an address of the settings can't be parsed.
class Controller {
 public:
  Controller(asio::io_context& io, const Clock& clock, config::Settings settings, config::Policy policy);
  ~Controller();
  // Throws std::system_error if an address can't be bound.
  void start();
  void stop();
  net::Tcp::endpoint listening() const { return server_->local(); }

 private:
  void on_request(const net::Request& r, net::HttpServer::Reply reply);
  void on_view(const state_store::StateView::ChangeSet& t);
  void on_peer_message(const protocol::PeerMessage& m);
  void fetch_catalogue();
  void send_summaries();
  void on_summary_page(const ControllerName& from, const protocol::Summary& page);
  void adjust_rate_limits();
  bool healthy() const;
  std::uint32_t running(const JobId& id) const;

  ControllerContext ctx_;
  std::unique_ptr<PeerService> peers_;
  std::unique_ptr<ShardService> workers_;
  std::unique_ptr<SchedulerService> leader_;
  std::unique_ptr<LeaderElection> roles_;
  std::unique_ptr<api::Api> api_;
  std::shared_ptr<net::HttpServer> server_;
  PeriodicTimer catalogue_tick_, summary_tick_, rate_limit_tick_;
  std::map<ControllerName, protocol::SummaryAssembler> summaries_;
  std::map<ShardId, std::map<JobId, std::uint32_t>> running_elsewhere_;
  Instant catalogue_at_{};
  bool fetching_ = false;
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
