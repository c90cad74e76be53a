#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kTick = 0.1;
constexpr double kHoldRenewal = 0.5;
constexpr double kHeartbeat = 0.5;
constexpr double kSummaryPeriod = 5;
constexpr double kReadPeriod = 0.4;
}  // namespace

void Controller::start() {
  env_.network.start(n_);
  p_ = Process{};
  auto m = env_.options.mistake;
  p_.watch_cache = std::make_shared<WatchCache>(
      n_, env_.queue, env_.state, m, [this](const state_store::StateView::ChangeSet& t) { on_view(t); });
  p_.endpoint_reader = std::make_shared<EndpointReader>(p_.watch_cache, m);
  p_.heartbeats = std::make_unique<Heartbeats>(n_, env_.queue.wall(), instant());
  p_.ticked = now();
  p_.api = std::make_unique<api::Api>(
      io_, clock_, env_.settings, std::make_shared<Transactions>(n_, env_.state), p_.endpoint_reader,
      api::Api::Hooks{
          [this] { return env_.catalogue.get(); },
          [this](Revision) { broadcast([](Controller& c) { c.p_.watch_cache->sync([](bool) {}); }); },
          [this](const JobId& id) { return may_acknowledge_cancellation(id); },
          [this](const JobId& id) { return running(id); },
          [] { return true; },
          [](std::uint32_t) { return true; },
      });
  every(kTick, &Controller::tick);
  every(kHoldRenewal, &Controller::renew_lease);
  every(kHeartbeat, &Controller::send_heartbeats);
  every(kSummaryPeriod, &Controller::send_summaries);
  p_.watch_cache->sync([](bool) {});
}

void Controller::crash(double back_s) {
  if (!env_.network.up(n_)) return;
  env_.network.stop(n_);
  p_ = Process{};
  env_.queue.after(back_s, [this] {
    if (!env_.network.up(n_)) start();
  });
}

void Controller::every(double period, void (Controller::*work)()) {
  (this->*work)();
  env_.network.later(n_, period, Await::kTimer, [this, period, work] { every(period, work); });
}

void Controller::send(int to, std::function<void(Controller&)> f) {
  env_.network.peer(n_, to, [this, to, f = std::move(f)] { f(env_.controller(to)); });
}

void Controller::broadcast(const std::function<void(Controller&)>& f) {
  for (int to = 0; to < kControllers; ++to)
    if (to != n_) send(to, f);
}

void Controller::renew_lease() {
  env_.state.renew(n_, state_store::alive_key(name()));
}

void Controller::tick() {
  if (now() - p_.watch_cache->word_s() > kReadPeriod && !p_.watch_cache->reading())
    p_.watch_cache->sync([](bool) {});
  roles();
  if (p_.scheduler && !p_.lead_read) read_ledger();
  tick_shards();
  tick_lead();
  p_.ticked = now();
}

void Controller::on_view(const state_store::StateView::ChangeSet& t) {
  for (auto& [id, o] : p_.shards) {
    if (o.read && t.machines.contains(id)) load_registry(id);
    for (const auto& j : t.jobs) publish(*o.shard, j);
  }
  if (p_.scheduler) {
    auto jobs = t.jobs;
    if (t.roles)
      for (auto& j : p_.scheduler->on_terms(terms())) jobs.insert(j);
    publish_to_scheduler(jobs);
  }
  if (t.roles) roles();
  share_cancellations(t);
}

void Controller::on_user(const net::Request& r, net::HttpServer::Reply reply) {
  if (mistake(Mistake::kKnownJudgedAgain) && r.method == "POST" && r.path == "/v1/jobs") {
    auto id = JobId(protocol::parse_object(r.body).value("ref", ""));
    if (view().job(id)) return reply({422, "{}", std::nullopt});
  }
  if (mistake(Mistake::kKnownUnread) && r.method == "GET") {
    JobId id(r.path.substr(r.path.rfind('/') + 1));
    if (view().job(id) && !view().end(id))
      return reply({200, protocol::render_status(id, protocol::JobState::kQueued, 0, 0), std::nullopt});
  }
  if (!mistake(Mistake::kInventsJobs)) return p_.api->handle(r, std::move(reply));
  p_.api->handle(r, [reply](net::Response x) {
    if (x.status == 404)
      x = {200, protocol::render_status(JobId("run-0"), protocol::JobState::kQueued, 0, 0)};
    reply(std::move(x));
  });
}

}  // namespace beaconsill::sim
