#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
// Times are in seconds.
constexpr double kTickPeriod = 0.1;
constexpr double kLeaseRenewalPeriod = 0.5;
constexpr double kHeartbeatPeriod = 0.5;
constexpr double kSummaryPeriod = 5;
constexpr double kStateReadPeriod = 0.4;
}  // namespace

void Controller::start() {
  env_.network.start(number_);
  process_ = Process{};
  auto seeded_bug = env_.options.seeded_bug;
  process_.watch_cache = std::make_shared<WatchCache>(
      number_, env_.queue, env_.state,
      [this](const state_store::StateView::ChangeSet& changes) { on_view_changed(changes); });
  process_.endpoint_reader = std::make_shared<EndpointReader>(process_.watch_cache, seeded_bug);
  process_.heartbeats = std::make_unique<Heartbeats>(number_, env_.queue.wall(), instant());
  process_.last_tick_s = now();
  process_.api = std::make_unique<api::Api>(
      io_, clock_, env_.settings, std::make_shared<Transactions>(number_, env_.state),
      process_.endpoint_reader,
      api::Api::Hooks{
          [this] { return env_.catalogue.get(); },
          [this](Revision) {
            broadcast([](Controller& controller) { controller.process_.watch_cache->sync([](bool) {}); });
          },
          [this](const JobId& id) { return may_reveal_cancellation(id); },
          [this](const JobId& id) { return count_running_tasks(id); },
          [] { return true; },
          [](std::uint32_t) { return true; },
      });
  every(kTickPeriod, &Controller::tick);
  every(kLeaseRenewalPeriod, &Controller::renew_lease);
  every(kHeartbeatPeriod, &Controller::send_heartbeats);
  every(kSummaryPeriod, &Controller::send_summaries);
  process_.watch_cache->sync([](bool) {});
}

void Controller::crash(double restart_delay_s) {
  if (!env_.network.is_up(number_)) return;
  env_.network.stop(number_);
  process_ = Process{};
  env_.queue.after(restart_delay_s, [this] {
    if (!env_.network.is_up(number_)) start();
  });
}

void Controller::every(double period, void (Controller::*task)()) {
  (this->*task)();
  env_.network.run_later(number_, period, CallbackKind::kTimer,
                         [this, period, task] { every(period, task); });
}

void Controller::send(int to, std::function<void(Controller&)> callback) {
  env_.network.send_to_peer(number_, to,
                            [this, to, callback = std::move(callback)] { callback(env_.controller(to)); });
}

void Controller::broadcast(const std::function<void(Controller&)>& callback) {
  for (int to = 0; to < kControllers; ++to)
    if (to != number_) send(to, callback);
}

void Controller::renew_lease() {
  env_.state.renew_liveness_lease(number_, state_store::alive_key(name()));
}

void Controller::tick() {
  if (now() - process_.watch_cache->synced_at_s() > kStateReadPeriod && !process_.watch_cache->is_reading())
    process_.watch_cache->sync([](bool) {});
  check_roles();
  if (process_.scheduler && !process_.records_read) read_records();
  tick_shards();
  tick_leader();
  process_.last_tick_s = now();
}

void Controller::on_view_changed(const state_store::StateView::ChangeSet& changes) {
  for (auto& [id, led] : process_.shards) {
    if (led.registry_read && changes.machines.contains(id)) load_registry(id);
    for (const auto& job : changes.jobs) publish_to_shard(*led.shard, job);
  }
  if (process_.scheduler) {
    auto jobs = changes.jobs;
    if (changes.roles)
      for (auto& job : process_.scheduler->on_terms(terms())) jobs.insert(job);
    publish_to_scheduler(jobs);
  }
  if (changes.roles) check_roles();
  share_cancellations(changes);
}

void Controller::on_user_request(const net::Request& request, net::HttpServer::Reply reply) {
  if (has_bug(SeededBug::kRepeatedSubmissionRejected) && request.method == "POST" &&
      request.path == "/v1/jobs") {
    auto id = JobId(protocol::parse_object(request.body).value("ref", ""));
    if (view().job(id)) return reply({422, "{}", std::nullopt});
  }
  if (has_bug(SeededBug::kNoReadBarrierForKnownJobs) && request.method == "GET") {
    JobId id(request.path.substr(request.path.rfind('/') + 1));
    if (view().job(id) && !view().terminal_state(id))
      return reply({200, protocol::render_status(id, protocol::JobState::kQueued, 0, 0), std::nullopt});
  }
  if (!has_bug(SeededBug::kUnknownJobsReported)) return process_.api->handle(request, std::move(reply));
  process_.api->handle(request, [reply](net::Response response) {
    if (response.status == 404)
      response = {200, protocol::render_status(JobId("run-0"), protocol::JobState::kQueued, 0, 0)};
    reply(std::move(response));
  });
}

}  // namespace beaconsill::sim
