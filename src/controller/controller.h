// Creates the components of one controller, connects them with each other, and starts and stops them.
#pragma once

#include <memory>

#include "api/api.h"
#include "controller/catalogue_refresher.h"
#include "controller/controller_context.h"
#include "controller/leader_election.h"
#include "controller/peer_message_dispatcher.h"
#include "controller/peer_service.h"
#include "controller/rate_limit_apportioner.h"
#include "controller/scheduler_service.h"
#include "controller/shard_service.h"
#include "controller/summary_exchange.h"
#include "net/http_server.h"

namespace beaconsill::controller {

// Owns all components of one controller, its clients and its server. The event loop and the clock must
// outlive it. Everything runs on the event loop's single thread. The constructor throws config::ConfigError
// if an address in the settings can't be parsed.
class Controller {
 public:
  Controller(asio::io_context& io_context, const Clock& clock, config::Settings settings,
             config::Policy policy);
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;
  ~Controller();
  // Throws std::system_error if an address can't be bound.
  void start();
  // Ends all pending requests, after which the event loop runs out of work. A second call does nothing.
  void stop();
  net::Tcp::endpoint listen_endpoint() const { return server_->local(); }

 private:
  void make_clients();
  void make_services();
  void make_election();
  void make_api();
  void make_server();
  void send_progress_to_leader(protocol::ProgressReport report);
  void on_request(const net::Request& request, net::HttpServer::Reply reply);
  void on_view_changed(const state_store::StateView::ChangeSet& changes);
  void on_catalogue();
  bool healthy() const;

  ControllerContext ctx_;
  std::unique_ptr<PeerService> peers_;
  std::unique_ptr<ShardService> shards_;
  std::unique_ptr<SchedulerService> scheduler_;
  std::unique_ptr<LeaderElection> election_;
  std::unique_ptr<CatalogueRefresher> catalogue_refresher_;
  std::unique_ptr<SummaryExchange> summaries_;
  std::unique_ptr<RateLimitApportioner> rate_limits_;
  std::unique_ptr<PeerMessageDispatcher> dispatcher_;
  std::unique_ptr<api::Api> api_;
  std::shared_ptr<net::HttpServer> server_;
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
