#include "node/node.h"

#include <algorithm>

#include "base/log.h"
#include "node/sockets.h"

namespace beaconsill::node {
namespace {

constexpr Duration kSyncPeriod = std::chrono::milliseconds(400);
constexpr Duration kCatalogueTick = std::chrono::seconds(1);
constexpr Duration kCatalogueAge = std::chrono::seconds(60);
constexpr Duration kShareTick = std::chrono::milliseconds(500);
constexpr Duration kUnhealthyAfter = std::chrono::milliseconds(1500);

net::Tcp::endpoint endpoint(const std::string& text, const char* field) {
  auto e = net::parse_endpoint(text);
  if (!e) throw config::ConfigError(std::string(field) + ": " + text + " is not an address");
  return *e;
}

net::ServerLimits server_limits(const config::Settings& s) {
  auto plan = plan_sockets(s);
  net::ServerLimits l;
  l.max_connections = plan.served;
  l.max_user_connections = plan.users;
  return l;
}

}  // namespace

Node::Node(asio::io_context& io, const Clock& clock, config::Settings settings, config::Policy policy)
    : ctx_(io, clock, std::move(settings), policy),
      catalogue_tick_(io, [this] { fetch_catalogue(); }),
      summary_tick_(io, [this] { send_summaries(); }),
      share_tick_(io, [this] { adjust_shares(); }) {
  const auto& s = ctx_.settings;
  auto state = endpoint(s.state, "external.state");
  auto cloud = endpoint(s.cloud, "external.cloud");
  endpoint(s.peer_listen, "internal_addr");
  for (const auto& p : s.peers) endpoint(p.address, "known.peer_addr");
  ctx_.store = std::make_shared<store::StoreClient>(
      io, clock, state, store::StoreLimits{s.state_rps, s.state_write_rps, s.txn_ops, s.value_bytes()},
      store::StoreLimits{s.next_state_rps, s.next_state_write_rps},
      1.0 / static_cast<double>(s.controllers()));
  ctx_.mirror = std::make_shared<store::Mirror>(io, clock, ctx_.store, kSyncPeriod,
                                                [this](const store::View::Touched& t) { on_view(t); });
  ctx_.cloud = std::make_shared<cloud::CloudClient>(io, clock, cloud,
                                                    s.cloud_rps / static_cast<double>(s.controllers()));
  peers_ = std::make_unique<PeersDuty>(
      ctx_, [this](const wire::PeerMessage& m) { on_peer(m); }, [this] { return workers_->owned(); });
  workers_ = std::make_unique<WorkersDuty>(ctx_, *peers_, [this](wire::Outcomes o) {
    const auto& leader = ctx_.view().leader().value.node;
    if (leader == ctx_.settings.node) return leader_->on_outcomes(o);
    for (auto& page : wire::paged(std::move(o))) peers_->send(leader, std::move(page));
  });
  leader_ = std::make_unique<LeaderDuty>(ctx_, *peers_, *workers_);
  roles_ = std::make_unique<RolesDuty>(ctx_, RolesDuty::Hooks{
                                                 [this](PartId p, Term t) { workers_->own(p, t); },
                                                 [this](PartId p) { workers_->disown(p); },
                                                 [this](Term t) {
                                                   leader_->lead(t);
                                                   adjust_shares();
                                                 },
                                                 [this] { leader_->unlead(); },
                                                 [this](PartId p) { return workers_->settled(p); },
                                             });
  api_ = std::make_unique<api::Api>(
      io, clock, ctx_.settings, ctx_.store, ctx_.mirror,
      api::Api::Hooks{
          [this] { return ctx_.catalogue.get(); },
          [this](Revision r) { peers_->broadcast(wire::Nudge{r}); },
          [this](const JobId& id) { return peers_->disclose(id); },
          [this](const JobId& id) { return running(id); },
          [this] { return healthy(); },
          [this](std::uint32_t version) { return ctx_.view().all_know(version, ctx_.parting.nodes()); },
      });
  server_ = std::make_shared<net::HttpServer>(
      io, endpoint(s.listen, "bind"), server_limits(s),
      [](const net::Request& r) { return api::Api::is_user_path(r.path); },
      [this](const net::Request& r, net::HttpServer::Reply reply) { on_request(r, std::move(reply)); });
}

Node::~Node() = default;

void Node::start() {
  spdlog::info("{} in {}: {} controllers, {} teams", ctx_.settings.node.value(), ctx_.settings.zone.value(),
               ctx_.settings.controllers(), ctx_.settings.teams.size());
  peers_->start();
  server_->start();
  ctx_.mirror->start();
  roles_->start();
  workers_->start();
  leader_->start();
  catalogue_tick_.start(kCatalogueTick);
  summary_tick_.start(ctx_.policy.summary_period);
  share_tick_.start(kShareTick);
}

void Node::stop() {
  if (stopped_) return;
  stopped_ = true;
  spdlog::info("stopping");
  catalogue_tick_.stop();
  summary_tick_.stop();
  share_tick_.stop();
  server_->stop();
  leader_->stop();
  workers_->stop();
  roles_->stop();
  peers_->stop();
  ctx_.mirror->stop();
  ctx_.store->stop();
  ctx_.cloud->stop();
}

void Node::on_request(const net::Request& r, net::HttpServer::Reply reply) {
  if (r.path == "/hello") return workers_->on_report(r, reply);
  api_->handle(r, std::move(reply));
}

void Node::on_view(const store::View::Touched& t) {
  if (stopped_) return;
  if (t.roles) roles_->on_view();
  workers_->on_view(t);
  peers_->on_view(t);
  leader_->on_view(t);
}

void Node::on_peer(const wire::PeerMessage& m) {
  if (const auto* heartbeat = std::get_if<wire::Heartbeat>(&m.body)) {
    workers_->on_terms(heartbeat->terms);
  } else if (const auto* nudge = std::get_if<wire::Nudge>(&m.body)) {
    ctx_.mirror->nudge(nudge->revision);
  } else if (const auto* ask = std::get_if<wire::Ask>(&m.body)) {
    workers_->on_ask(*ask, [&](wire::Answer a) { peers_->send(m.from, std::move(a)); });
  } else if (const auto* answer = std::get_if<wire::Answer>(&m.body)) {
    leader_->on_answer(*answer);
  } else if (const auto* summary = std::get_if<wire::Summary>(&m.body)) {
    on_summary_page(m.from, *summary);
  } else if (const auto* release = std::get_if<wire::Release>(&m.body)) {
    workers_->on_release(release->machines);
  } else if (const auto* relay = std::get_if<wire::Relay>(&m.body)) {
    workers_->on_relay(m.from, *relay);
  } else if (const auto* relayed = std::get_if<wire::Relayed>(&m.body)) {
    workers_->on_relayed(*relayed);
  } else if (const auto* outcomes = std::get_if<wire::Outcomes>(&m.body)) {
    leader_->on_outcomes(*outcomes);
  } else if (const auto* gone = std::get_if<wire::Gone>(&m.body)) {
    workers_->on_gone(gone->machines);
  }
}

void Node::on_summary_page(const NodeName& from, const wire::Summary& page) {
  auto summary = summaries_[from].add(page);
  if (!summary) return;
  auto& counts = running_elsewhere_[summary->part];
  counts.clear();
  for (const auto& c : summary->running) counts[c.job] = c.running;
  leader_->on_summary(*summary);
}

std::uint32_t Node::running(const JobId& id) const {
  std::uint32_t n = workers_->running(id);
  for (const auto& [part, counts] : running_elsewhere_) {
    if (workers_->owns(part)) continue;
    if (auto it = counts.find(id); it != counts.end()) n += it->second;
  }
  return n;
}

// Without its state service this node can only refuse: better that users go to one that is served. If all
// are refused, going elsewhere doesn't help them.
bool Node::healthy() const {
  if (!ctx_.mirror->ready() || !ctx_.catalogue) return false;
  return ctx_.now() - ctx_.mirror->as_of() < kUnhealthyAfter || !peers_->state_answers_others();
}

void Node::fetch_catalogue() {
  if (fetching_ || (ctx_.catalogue && ctx_.now() - catalogue_at_ < kCatalogueAge)) return;
  fetching_ = true;
  ctx_.cloud->catalogue([this](std::optional<wire::Catalogue> c) {
    fetching_ = false;
    if (!c || stopped_) return;
    catalogue_at_ = ctx_.now();
    ctx_.catalogue = std::make_shared<const wire::Catalogue>(std::move(*c));
    workers_->on_catalogue();
    leader_->on_catalogue();
  });
}

void Node::send_summaries() {
  for (auto& s : workers_->summaries()) {
    leader_->on_summary(s);
    for (auto& page : wire::paged(std::move(s))) peers_->broadcast(std::move(page));
  }
}

void Node::adjust_shares() {
  const auto& nodes = ctx_.parting.nodes();
  auto alive = [&](const NodeName& n) { return n == ctx_.settings.node || ctx_.view().alive(n); };
  Sharers s;
  s.alive = static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), alive));
  s.leading = leader_->leading();
  const auto& leader = ctx_.view().leader();
  s.has_leader = leader.exists() && ctx_.view().alive(leader.value.node);
  // A view that isn't complete shows fewer controllers than there are.
  if (!ctx_.mirror->ready()) s = {nodes.size(), false, true};
  ctx_.store->set_shares(
      share_of_limit(s, std::max(kLeaderShareOfRequests, 1 / static_cast<double>(s.alive))),
      share_of_limit(s, kLeaderShareOfChanges));
  ctx_.cloud->set_rate(ctx_.settings.cloud_rps * share_of_limit(s, kLeaderShareOfCloud));
}

}  // namespace beaconsill::node
