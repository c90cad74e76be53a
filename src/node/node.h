// One controller: wires the packages together and runs the duties until it's stopped.
#pragma once

#include <memory>

#include "api/api.h"
#include "node/leader_duty.h"
#include "node/peers.h"
#include "node/roles.h"
#include "node/workers.h"
#include "wire/paging.h"

namespace beaconsill::node {

// Owns all duties of one controller, its clients and its server; the event loop and the clock have to outlive
// it. Constructor: config::ConfigError if an address of the settings can't be parsed.
class Node {
 public:
  Node(asio::io_context& io, const Clock& clock, config::Settings settings, config::Policy policy);
  ~Node();
  // Throws std::system_error if an address can't be bound.
  void start();
  void stop();
  net::Tcp::endpoint listening() const { return server_->local(); }

 private:
  void on_request(const net::Request& r, net::HttpServer::Reply reply);
  void on_view(const store::View::Touched& t);
  void on_peer(const wire::PeerMessage& m);
  void fetch_catalogue();
  void send_summaries();
  void on_summary_page(const NodeName& from, const wire::Summary& page);
  void adjust_shares();
  bool healthy() const;
  std::uint32_t running(const JobId& id) const;

  Context ctx_;
  std::unique_ptr<PeersDuty> peers_;
  std::unique_ptr<WorkersDuty> workers_;
  std::unique_ptr<LeaderDuty> leader_;
  std::unique_ptr<RolesDuty> roles_;
  std::unique_ptr<api::Api> api_;
  std::shared_ptr<net::HttpServer> server_;
  Repeater catalogue_tick_, summary_tick_, share_tick_;
  std::map<NodeName, wire::SummaryAssembler> summaries_;
  std::map<PartId, std::map<JobId, std::uint32_t>> running_elsewhere_;
  Instant catalogue_at_{};
  bool fetching_ = false;
  bool stopped_ = false;
};

}  // namespace beaconsill::node
