#include "controller/controller.h"

#include <utility>

#include "base/log.h"
#include "controller/socket_limits.h"

namespace beaconsill::controller {
namespace {

constexpr Duration kSyncPeriod = std::chrono::milliseconds(400);
constexpr Duration kUnhealthyAfter = std::chrono::milliseconds(1500);

// Parses the setting `field`. Throws config::ConfigError if it isn't an address.
net::Tcp::endpoint parse_address(const std::string& address, const char* field) {
  auto endpoint = net::parse_endpoint(address);
  if (!endpoint)
    throw config::ConfigError(std::string(field) + ": \"" + address +
                              "\" is not a valid address (expected IP:PORT)");
  return *endpoint;
}

net::ServerLimits server_limits(const config::Settings& settings) {
  auto sockets = plan_socket_limits(settings);
  net::ServerLimits limits;
  limits.max_connections = sockets.accepted;
  limits.user_share = sockets.user_share;
  return limits;
}

}  // namespace

Controller::Controller(asio::io_context& io_context, const Clock& clock, config::Settings settings,
                       config::Policy policy)
    : ctx_(io_context, clock, std::move(settings), policy) {
  make_clients();
  make_services();
  make_election();
  make_api();
  make_server();
}

Controller::~Controller() = default;

void Controller::make_clients() {
  const auto& settings = ctx_.settings;
  auto state = parse_address(settings.state_store_address, "external.state");
  auto cloud = parse_address(settings.cloud_address, "external.cloud");
  parse_address(settings.peer_listen_address, "internal_addr");
  for (const auto& peer : settings.peers) parse_address(peer.address, "known.peer_addr");
  // Until the view shows which controllers are alive, each controller uses an equal share of the rate limits.
  const auto controllers = static_cast<double>(settings.controller_count());
  ctx_.store = std::make_shared<state_store::StoreClient>(
      ctx_.io_context, ctx_.clock, state,
      state_store::StoreLimits{settings.state_rps, settings.state_write_rps, settings.txn_ops,
                               settings.value_bytes()},
      state_store::StoreLimits{settings.next_state_rps, settings.next_state_write_rps}, 1.0 / controllers);
  ctx_.watch_cache = std::make_shared<state_store::WatchCache>(
      ctx_.io_context, ctx_.clock, ctx_.store, kSyncPeriod,
      [this](const state_store::StateView::ChangeSet& changes) { on_view_changed(changes); });
  ctx_.cloud = std::make_shared<cloud::CloudClient>(ctx_.io_context, ctx_.clock, cloud,
                                                    settings.cloud_rps / controllers);
}

void Controller::make_services() {
  peers_ = std::make_unique<PeerService>(
      ctx_, [this](const protocol::PeerMessage& message) { dispatcher_->dispatch(message); },
      [this] { return shards_->led_terms(); });
  shards_ = std::make_unique<ShardService>(
      ctx_, *peers_, [this](protocol::ProgressReport report) { send_progress_to_leader(std::move(report)); });
  scheduler_ = std::make_unique<SchedulerService>(ctx_, *peers_, *shards_);
  catalogue_refresher_ = std::make_unique<CatalogueRefresher>(ctx_, [this] { on_catalogue(); });
  summaries_ = std::make_unique<SummaryExchange>(ctx_, peers_->messenger(), *shards_, *scheduler_);
  rate_limits_ = std::make_unique<RateLimitApportioner>(ctx_, *scheduler_);
  dispatcher_ =
      std::make_unique<PeerMessageDispatcher>(ctx_, peers_->messenger(), *shards_, *scheduler_, *summaries_);
}

void Controller::make_election() {
  LeaderElection::Hooks hooks;
  hooks.acquire_shard = [this](ShardId shard, Term term) { shards_->acquire_shard(shard, term); };
  hooks.release_shard = [this](ShardId shard) { shards_->release_shard(shard); };
  hooks.become_leader = [this](Term term) {
    scheduler_->become_leader(term);
    rate_limits_->update();
  };
  hooks.step_down = [this] { scheduler_->step_down(); };
  hooks.is_stable = [this](ShardId shard) { return shards_->is_stable(shard); };
  election_ = std::make_unique<LeaderElection>(ctx_, std::move(hooks));
}

void Controller::make_api() {
  api::Api::Hooks hooks;
  hooks.catalogue = [this] { return ctx_.catalogue.get(); };
  hooks.on_commit = [this](Revision revision) {
    peers_->messenger().broadcast(protocol::ChangeNotification{revision});
  };
  hooks.may_reveal_cancellation = [this](const JobId& id) { return peers_->cancellations().may_reveal(id); };
  hooks.running_tasks = [this](const JobId& id) { return summaries_->running(id); };
  hooks.is_healthy = [this] { return healthy(); };
  hooks.all_controllers_support = [this](std::uint32_t version) {
    return ctx_.view().all_support(version, ctx_.partitioning.controllers());
  };
  api_ = std::make_unique<api::Api>(ctx_.io_context, ctx_.clock, ctx_.settings, ctx_.store, ctx_.watch_cache,
                                    std::move(hooks));
}

void Controller::make_server() {
  server_ = std::make_shared<net::HttpServer>(
      ctx_.io_context, parse_address(ctx_.settings.listen_address, "bind"), server_limits(ctx_.settings),
      [](const net::Request& request) { return api::Api::is_user_path(request.path); },
      [this](const net::Request& request, net::HttpServer::Reply reply) {
        on_request(request, std::move(reply));
      });
}

void Controller::start() {
  spdlog::info("controller_starting controller={} zone={} count={} teams={}",
               ctx_.settings.controller.value(), ctx_.settings.zone.value(), ctx_.settings.controller_count(),
               ctx_.settings.teams.size());
  peers_->start();
  server_->start();
  ctx_.watch_cache->start();
  election_->start();
  shards_->start();
  scheduler_->start();
  catalogue_refresher_->start();
  summaries_->start();
  rate_limits_->start();
}

void Controller::stop() {
  if (stopped_) return;
  stopped_ = true;
  spdlog::info("controller_stopping controller={}", ctx_.settings.controller.value());
  catalogue_refresher_->stop();
  summaries_->stop();
  rate_limits_->stop();
  server_->stop();
  scheduler_->stop();
  shards_->stop();
  election_->stop();
  peers_->stop();
  // The clients are stopped last, since their pending requests end with callbacks to the components above.
  ctx_.watch_cache->stop();
  ctx_.store->stop();
  ctx_.cloud->stop();
}

void Controller::send_progress_to_leader(protocol::ProgressReport report) {
  const auto& leader = ctx_.view().leader().value.controller;
  if (leader == ctx_.settings.controller) {
    scheduler_->on_progress_report(report);
    return;
  }
  for (auto& page : protocol::split_into_pages(std::move(report)))
    peers_->messenger().send(leader, std::move(page));
}

void Controller::on_request(const net::Request& request, net::HttpServer::Reply reply) {
  if (request.path == "/hello") {
    shards_->heartbeats().on_request(request, reply);
    return;
  }
  api_->handle(request, std::move(reply));
}

void Controller::on_view_changed(const state_store::StateView::ChangeSet& changes) {
  if (stopped_) return;
  if (changes.roles) election_->on_roles_changed();
  shards_->on_view(changes);
  peers_->on_view(changes);
  scheduler_->on_view(changes);
}

void Controller::on_catalogue() {
  shards_->on_catalogue();
  scheduler_->on_catalogue();
}

// A controller that can't read the state store has to refuse users' requests, so it reports itself unhealthy
// and users can turn to a controller that can read it. If no other controller can read it either, turning to
// another one doesn't help, and this controller keeps reporting itself healthy.
bool Controller::healthy() const {
  if (!ctx_.watch_cache->ready() || !ctx_.catalogue) return false;
  return ctx_.view_is_newer_than(kUnhealthyAfter) || !peers_->status().any_peer_reaches_state_store();
}

}  // namespace beaconsill::controller
