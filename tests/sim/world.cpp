#include "sim/world.h"

namespace beaconsill::sim {
namespace {

// `seeded_bug`: without limits jobs of any size are accepted.
config::Settings settings(SeededBug seeded_bug) {
  config::Settings s;
  s.controller = controller_name(0);
  s.zone = controller_zone(0);
  for (int n = 1; n < kControllers; ++n) s.peers.push_back({controller_name(n), controller_zone(n), ""});
  s.zones = zones();
  s.txn_ops = 16;
  for (const auto& team : teams())
    s.teams.push_back({team, 8, seeded_bug == SeededBug::kNoSizeLimit ? 0 : kTeamCpus, 0, 0});
  return s;
}

std::shared_ptr<const protocol::Catalogue> catalogue() {
  auto c = std::make_shared<protocol::Catalogue>();
  (*c)[MachineType("t8")] = {
      MachineType("t8"), {kMachineCpus, 0, kMachineMemory}, 20, 0.5, 1, 0.5, 5, zones()};
  return c;
}

double lost_responses(SeededBug m) {
  // Old leaders' writes come late more often, so that the seeded_bug shows soon.
  return m == SeededBug::kNoFencing ? 0.15 : 0.015;
}

protocol::JobSpec job(const std::string& id, std::uint32_t tasks, const std::string& team, JobKind kind) {
  protocol::JobSpec s;
  s.id = JobId(id);
  s.job_class = "c";
  s.team = Team(team);
  s.kind = kind;
  s.priority = kind == JobKind::kService ? Priority::kHigh : Priority::kNormal;
  s.tasks = tasks;
  s.each = {1, 0, 1};
  s.image = ImageName("img-0");
  s.image_gb = 1;
  s.estimate_s = kind == JobKind::kService ? 0 : 3;
  return s;
}

}  // namespace

protocol::JobSpec array_job(const std::string& id, std::uint32_t tasks, const std::string& team) {
  return job(id, tasks, team, JobKind::kArray);
}

protocol::JobSpec service_job(const std::string& id, std::uint32_t replicas, const std::string& team) {
  return job(id, replicas, team, JobKind::kService);
}

World::World(Options o)
    : options_(o),
      queue_(o.seed, o.noise),
      network_(queue_),
      decisions_(queue_),
      invariants_(queue_, ledger_, outcome_, [this] { workers_.advance_all(); }),
      state_(queue_, network_, decisions_, lost_responses(o.seeded_bug),
             [this](const auto& w) { invariants_.on_written(w); }),
      settings_(settings(o.seeded_bug)),
      partitioning_(settings_),
      workers_(queue_, network_, decisions_, ledger_, invariants_, outcome_, options_,
               {[this](int n, const auto& r, auto reply) { controller(n).on_worker_heartbeat(r, reply); },
                [this](const auto& id) { users_.on_all_done(id); }}),
      cloud_(queue_, ledger_, [this](const auto& m) { workers_.on_added(m); }),
      env_{options_,  queue_,        network_,    state_,
           workers_,  cloud_,        decisions_,  outcome_,
           settings_, partitioning_, catalogue(), [this](int n) -> Controller& { return controller(n); }},
      users_(env_, ledger_, invariants_),
      faults_(env_, ledger_, users_) {
  for (int n = 0; n < kControllers; ++n)
    controllers_[static_cast<std::size_t>(n)] = std::make_unique<Controller>(n, env_);
  for (int i = 0; i < o.machines; ++i) cloud_.add_machine();
}

void World::script(double at_s, std::function<void()> f) {
  last_request_ = std::max(last_request_, at_s);
  queue_.at(at_s, std::move(f));
}

void World::at(double at_s, std::function<void()> f) {
  script(at_s, std::move(f));
}

void World::submit(double at_s, const protocol::JobSpec& spec, int controller, std::optional<double> run_s) {
  script(at_s, [this, spec, controller, run_s] { users_.submit(controller, spec, run_s); });
}

void World::cancel(double at_s, const JobId& id, int controller) {
  script(at_s, [this, id, controller] { users_.cancel(controller, id); });
}

void World::poll(double at_s, const JobId& id, int controller) {
  script(at_s, [this, id, controller] { users_.poll(controller, id); });
}

void World::poll_all(double at_s, const JobId& id) {
  for (int n = 0; n < kControllers; ++n) poll(at_s, id, n);
}

std::vector<MachineName> World::running_on(const JobId& id) const {
  std::vector<MachineName> out;
  for (const auto& [name, m] : ledger_.machines)
    if (!m.terminated && std::any_of(m.tasks.begin(), m.tasks.end(), [&](const auto& t) {
          return t.first.first.job == id && t.second.running && !t.second.ended;
        }))
      out.push_back(name);
  return out;
}

std::optional<UserResponse> World::last_response(const JobId& id, UserRequest request) const {
  const auto& all = responses();
  auto it = std::find_if(all.rbegin(), all.rend(),
                         [&](const auto& a) { return a.job == id && a.request == request; });
  if (it == all.rend()) return std::nullopt;
  return *it;
}

Outcome World::run() {
  for (int n = 0; n < kControllers; ++n) queue_.at(0.05 * n, [this, n] { controller(n).start(); });
  for (int i = 0; i < options_.jobs; ++i)
    queue_.at(1 + queue_.uniform(0, options_.faults_s * 0.8), [this, i] { users_.submit_drawn(i); });
  for (int i = 0; i < options_.pipelines; ++i)
    queue_.at(1 + queue_.uniform(0, options_.faults_s * 0.8), [this, i] { users_.submit_pipeline(i); });
  if (options_.random_faults) faults_.draw_concurrent_faults(options_.faults_s);
  queue_.every(1, [this] {
    invariants_.check_all(std::max(faults_.over(), last_request_));
    check_served();
  });
  while (!queue_.empty() && now() < options_.end_s && outcome_.violations.empty() &&
         outcome_.served_at == 0) {
    queue_.step();
    check_probes();
  }
  if (outcome_.served_at == 0 && outcome_.violations.empty()) {
    std::string waiting;
    for (auto& [id, j] : ledger_.jobs)
      if (!invariants_.satisfied(id, j, state_)) waiting += " " + id.value();
    invariants_.report_violation("forgotten", "not served by the end:" + waiting);
  }
  outcome_.deleted_machines = cloud_.deletions();
  outcome_.digest = decisions_.value();
  return outcome_;
}

void World::check_served() {
  if (now() <= std::max(faults_.over(), last_request_) + kCalmAfter) return;
  if (ledger_.jobs.size() < static_cast<std::size_t>(options_.jobs)) return;
  for (auto& [id, j] : ledger_.jobs)
    if (!invariants_.satisfied(id, j, state_)) return;
  outcome_.served_at = now();
}

void World::check_probes() {
  for (auto& [name, predicate] : probes_)
    if (auto why = predicate(*this)) invariants_.report_violation(name, *why);
}

}  // namespace beaconsill::sim
