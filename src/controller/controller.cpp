#include "controller/controller.h"

#include <algorithm>

#include "base/log.h"
#include "controller/socket_limits.h"

namespace beaconsill::controller {
namespace {

constexpr Duration kSyncPeriod = std::chrono::milliseconds(400);
constexpr Duration kCatalogueTick = std::chrono::seconds(1);
constexpr Duration kCatalogueAge = std::chrono::seconds(60);
constexpr Duration kRateLimitPeriod = std::chrono::milliseconds(500);
constexpr Duration kUnhealthyAfter = std::chrono::milliseconds(1500);

net::Tcp::endpoint endpoint(const std::string& text, const char* field) {
  auto e = net::parse_endpoint(text);
  if (!e) throw config::ConfigError(std::string(field) + ": " + text + " is not an address");
  return *e;
}

net::ServerLimits server_limits(const config::Settings& s) {
  auto plan = plan_socket_limits(s);
  net::ServerLimits l;
  l.max_connections = plan.served;
  l.max_user_connections = plan.users;
  return l;
}

}  // namespace

Controller::Controller(asio::io_context& io, const Clock& clock, config::Settings settings,
                       config::Policy policy)
    : ctx_(io, clock, std::move(settings), policy),
      catalogue_tick_(io, [this] { fetch_catalogue(); }),
      summary_tick_(io, [this] { send_summaries(); }),
      rate_limit_tick_(io, [this] { adjust_rate_limits(); }) {
  const auto& s = ctx_.settings;
  auto state = endpoint(s.state, "external.state");
  auto cloud = endpoint(s.cloud, "external.cloud");
  endpoint(s.peer_listen, "internal_addr");
  for (const auto& p : s.peers) endpoint(p.address, "known.peer_addr");
  ctx_.store = std::make_shared<state_store::StoreClient>(
      io, clock, state, state_store::StoreLimits{s.state_rps, s.state_write_rps, s.txn_ops, s.value_bytes()},
      state_store::StoreLimits{s.next_state_rps, s.next_state_write_rps},
      1.0 / static_cast<double>(s.controllers()));
  ctx_.watch_cache = std::make_shared<state_store::WatchCache>(
      io, clock, ctx_.store, kSyncPeriod, [this](const state_store::StateView::ChangeSet& t) { on_view(t); });
  ctx_.cloud = std::make_shared<cloud::CloudClient>(io, clock, cloud,
                                                    s.cloud_rps / static_cast<double>(s.controllers()));
  peers_ = std::make_unique<PeerService>(
      ctx_, [this](const protocol::PeerMessage& m) { on_peer_message(m); },
      [this] { return workers_->owned(); });
  workers_ = std::make_unique<ShardService>(ctx_, *peers_, [this](protocol::ProgressReport o) {
    const auto& leader = ctx_.view().leader().value.controller;
    if (leader == ctx_.settings.controller) return leader_->on_progress_report(o);
    for (auto& page : protocol::paged(std::move(o))) peers_->send(leader, std::move(page));
  });
  leader_ = std::make_unique<SchedulerService>(ctx_, *peers_, *workers_);
  roles_ =
      std::make_unique<LeaderElection>(ctx_, LeaderElection::Hooks{
                                                 [this](ShardId p, Term t) { workers_->acquire_shard(p, t); },
                                                 [this](ShardId p) { workers_->release_shard(p); },
                                                 [this](Term t) {
                                                   leader_->become_leader(t);
                                                   adjust_rate_limits();
                                                 },
                                                 [this] { leader_->step_down(); },
                                                 [this](ShardId p) { return workers_->is_stable(p); },
                                             });
  api_ = std::make_unique<api::Api>(
      io, clock, ctx_.settings, ctx_.store, ctx_.watch_cache,
      api::Api::Hooks{
          [this] { return ctx_.catalogue.get(); },
          [this](Revision r) { peers_->broadcast(protocol::ChangeNotification{r}); },
          [this](const JobId& id) { return peers_->may_acknowledge_cancellation(id); },
          [this](const JobId& id) { return running(id); },
          [this] { return healthy(); },
          [this](std::uint32_t version) {
            return ctx_.view().all_support(version, ctx_.partitioning.controllers());
          },
      });
  server_ = std::make_shared<net::HttpServer>(
      io, endpoint(s.listen, "bind"), server_limits(s),
      [](const net::Request& r) { return api::Api::is_user_path(r.path); },
      [this](const net::Request& r, net::HttpServer::Reply reply) { on_request(r, std::move(reply)); });
}

Controller::~Controller() = default;

void Controller::start() {
  spdlog::info("{} in {}: {} controllers, {} teams", ctx_.settings.controller.value(),
               ctx_.settings.zone.value(), ctx_.settings.controllers(), ctx_.settings.teams.size());
  peers_->start();
  server_->start();
  ctx_.watch_cache->start();
  roles_->start();
  workers_->start();
  leader_->start();
  catalogue_tick_.start(kCatalogueTick);
  summary_tick_.start(ctx_.policy.summary_period);
  rate_limit_tick_.start(kRateLimitPeriod);
}

void Controller::stop() {
  if (stopped_) return;
  stopped_ = true;
  spdlog::info("stopping");
  catalogue_tick_.stop();
  summary_tick_.stop();
  rate_limit_tick_.stop();
  server_->stop();
  leader_->stop();
  workers_->stop();
  roles_->stop();
  peers_->stop();
  ctx_.watch_cache->stop();
  ctx_.store->stop();
  ctx_.cloud->stop();
}

void Controller::on_request(const net::Request& r, net::HttpServer::Reply reply) {
  if (r.path == "/hello") return workers_->on_worker_heartbeat(r, reply);
  api_->handle(r, std::move(reply));
}

void Controller::on_view(const state_store::StateView::ChangeSet& t) {
  if (stopped_) return;
  if (t.roles) roles_->on_view();
  workers_->on_view(t);
  peers_->on_view(t);
  leader_->on_view(t);
}

void Controller::on_peer_message(const protocol::PeerMessage& m) {
  if (const auto* heartbeat = std::get_if<protocol::Heartbeat>(&m.body)) {
    workers_->on_terms(heartbeat->terms);
  } else if (const auto* on_remote_change = std::get_if<protocol::ChangeNotification>(&m.body)) {
    ctx_.watch_cache->on_remote_change(on_remote_change->revision);
  } else if (const auto* estimate_request = std::get_if<protocol::EstimateRequest>(&m.body)) {
    workers_->on_estimate_request(*estimate_request,
                                  [&](protocol::EstimateResponse a) { peers_->send(m.from, std::move(a)); });
  } else if (const auto* answer = std::get_if<protocol::EstimateResponse>(&m.body)) {
    leader_->on_estimate_response(*answer);
  } else if (const auto* summary = std::get_if<protocol::Summary>(&m.body)) {
    on_summary_page(m.from, *summary);
  } else if (const auto* release = std::get_if<protocol::ReleaseMachines>(&m.body)) {
    workers_->on_release(release->machines);
  } else if (const auto* relay = std::get_if<protocol::RelayedHeartbeat>(&m.body)) {
    workers_->on_relayed_heartbeat(m.from, *relay);
  } else if (const auto* relayed = std::get_if<protocol::RelayedReply>(&m.body)) {
    workers_->on_relayed_reply(*relayed);
  } else if (const auto* progress_report = std::get_if<protocol::ProgressReport>(&m.body)) {
    leader_->on_progress_report(*progress_report);
  } else if (const auto* gone = std::get_if<protocol::TerminatedMachines>(&m.body)) {
    workers_->on_machines_terminated(gone->machines);
  }
}

void Controller::on_summary_page(const ControllerName& from, const protocol::Summary& page) {
  auto summary = summaries_[from].add(page);
  if (!summary) return;
  auto& counts = running_elsewhere_[summary->shard];
  counts.clear();
  for (const auto& c : summary->running) counts[c.job] = c.running;
  leader_->on_summary(*summary);
}

std::uint32_t Controller::running(const JobId& id) const {
  std::uint32_t n = workers_->running(id);
  for (const auto& [shard, counts] : running_elsewhere_) {
    if (workers_->owns(shard)) continue;
    if (auto it = counts.find(id); it != counts.end()) n += it->second;
  }
  return n;
}

// Without its state store this controller can only refuse: better that users go to one that is served. If all
// are refused, going elsewhere doesn't help them.
bool Controller::healthy() const {
  if (!ctx_.watch_cache->ready() || !ctx_.catalogue) return false;
  return ctx_.now() - ctx_.watch_cache->as_of() < kUnhealthyAfter || !peers_->others_reach_state_store();
}

void Controller::fetch_catalogue() {
  if (fetching_ || (ctx_.catalogue && ctx_.now() - catalogue_at_ < kCatalogueAge)) return;
  fetching_ = true;
  ctx_.cloud->catalogue([this](std::optional<protocol::Catalogue> c) {
    fetching_ = false;
    if (!c || stopped_) return;
    catalogue_at_ = ctx_.now();
    ctx_.catalogue = std::make_shared<const protocol::Catalogue>(std::move(*c));
    workers_->on_catalogue();
    leader_->on_catalogue();
  });
}

void Controller::send_summaries() {
  for (auto& s : workers_->summaries()) {
    leader_->on_summary(s);
    for (auto& page : protocol::paged(std::move(s))) peers_->broadcast(std::move(page));
  }
}

void Controller::adjust_rate_limits() {
  const auto& controllers = ctx_.partitioning.controllers();
  auto alive = [&](const ControllerName& n) { return n == ctx_.settings.controller || ctx_.view().alive(n); };
  LiveControllers s;
  s.alive = static_cast<std::size_t>(std::count_if(controllers.begin(), controllers.end(), alive));
  s.is_leader = leader_->is_leader();
  const auto& leader = ctx_.view().leader();
  s.has_leader = leader.exists() && ctx_.view().alive(leader.value.controller);
  // A view that isn't complete shows fewer controllers than there are.
  if (!ctx_.watch_cache->ready()) s = {controllers.size(), false, true};
  ctx_.store->set_shares(
      rate_limit_share(s, std::max(kLeaderShareOfRequests, 1 / static_cast<double>(s.alive))),
      rate_limit_share(s, kLeaderShareOfChanges));
  ctx_.cloud->set_rate(ctx_.settings.cloud_rps * rate_limit_share(s, kLeaderShareOfCloud));
}

}  // namespace beaconsill::controller
