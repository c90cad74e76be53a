#include "sim/world.h"

namespace beaconsill::sim {
namespace {

// With SeededBug::kNoSizeLimit, teams have no CPU limit, so that jobs of any size are accepted.
config::Settings settings(SeededBug seeded_bug) {
  config::Settings settings;
  settings.controller = controller_name(0);
  settings.zone = controller_zone(0);
  for (int number = 1; number < kControllers; ++number)
    settings.peers.push_back({controller_name(number), controller_zone(number), ""});
  settings.zones = zones();
  settings.txn_ops = 16;
  for (const auto& team : teams())
    settings.teams.push_back({team, 8, seeded_bug == SeededBug::kNoSizeLimit ? 0 : kTeamCpus, 0, 0});
  return settings;
}

std::shared_ptr<const protocol::Catalogue> catalogue() {
  auto catalogue = std::make_shared<protocol::Catalogue>();
  (*catalogue)[MachineType("t8")] = {
      MachineType("t8"), {kMachineCpus, 0, kMachineMemory}, 20, 0.5, 1, 0.5, 5, zones()};
  return catalogue;
}

double lost_response_share(SeededBug seeded_bug) {
  // With this bug, more writes are delayed, so that even in a short test some arrive after a leader change.
  return seeded_bug == SeededBug::kNoFencing ? 0.15 : 0.015;
}

protocol::JobSpec job_spec(const std::string& id, std::uint32_t tasks, const std::string& team,
                           JobKind kind) {
  protocol::JobSpec spec;
  spec.id = JobId(id);
  spec.job_class = "c";
  spec.team = Team(team);
  spec.kind = kind;
  spec.priority = kind == JobKind::kService ? Priority::kHigh : Priority::kNormal;
  spec.tasks = tasks;
  spec.each = {1, 0, 1};
  spec.image = ImageName("img-0");
  spec.image_gb = 1;
  spec.estimate_s = kind == JobKind::kService ? 0 : 3;
  return spec;
}

}  // namespace

protocol::JobSpec array_job(const std::string& id, std::uint32_t tasks, const std::string& team) {
  return job_spec(id, tasks, team, JobKind::kArray);
}

protocol::JobSpec service_job(const std::string& id, std::uint32_t replicas, const std::string& team) {
  return job_spec(id, replicas, team, JobKind::kService);
}

World::World(Options options)
    : options_(options),
      queue_(options.seed, options.noise),
      network_(queue_),
      decisions_(queue_),
      invariants_(queue_, ledger_, outcome_, [this] { workers_.advance_all(); }),
      state_(queue_, network_, decisions_, lost_response_share(options.seeded_bug),
             [this](const auto& write) { invariants_.on_state_write(write); }),
      settings_(settings(options.seeded_bug)),
      partitioning_(settings_),
      workers_(queue_, network_, decisions_, ledger_, invariants_, outcome_, options_,
               {[this](int number, const auto& heartbeat, auto reply) {
                  controller(number).on_worker_heartbeat(heartbeat, reply);
                },
                [this](const auto& id) { random_users_.on_job_completed(id); }}),
      cloud_(queue_, ledger_, options_, [this](const auto& name) { workers_.on_machine_added(name); }),
      env_{options_,      queue_,      network_,
           state_,        workers_,    cloud_,
           decisions_,    outcome_,    settings_,
           partitioning_, catalogue(), [this](int number) -> Controller& { return controller(number); }},
      users_(env_, ledger_, invariants_, [this](const JobId& id) { random_users_.on_job_status_change(id); }),
      random_users_(env_, ledger_, users_),
      faults_(env_, ledger_, random_users_) {
  for (int number = 0; number < kControllers; ++number)
    controllers_[static_cast<std::size_t>(number)] = std::make_unique<Controller>(number, env_);
  for (int i = 0; i < options.machines; ++i) cloud_.add_machine();
}

void World::schedule_scripted_action(double at_s, std::function<void()> callback) {
  last_scripted_at_s_ = std::max(last_scripted_at_s_, at_s);
  queue_.at(at_s, std::move(callback));
}

void World::at(double at_s, std::function<void()> callback) {
  schedule_scripted_action(at_s, std::move(callback));
}

void World::submit(double at_s, const protocol::JobSpec& spec, int controller, std::optional<double> run_s) {
  schedule_scripted_action(at_s, [this, spec, controller, run_s] { users_.submit(controller, spec, run_s); });
}

void World::cancel(double at_s, const JobId& id, int controller) {
  schedule_scripted_action(at_s, [this, id, controller] { users_.cancel(controller, id); });
}

void World::poll(double at_s, const JobId& id, int controller) {
  schedule_scripted_action(at_s, [this, id, controller] { users_.poll(controller, id); });
}

void World::poll_all(double at_s, const JobId& id) {
  for (int number = 0; number < kControllers; ++number) poll(at_s, id, number);
}

std::vector<MachineName> World::running_on(const JobId& id) const {
  std::vector<MachineName> out;
  for (const auto& [name, machine] : ledger_.machines)
    if (!machine.terminated &&
        std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](const auto& entry) {
          return entry.first.first.job == id && entry.second.running && !entry.second.ended;
        }))
      out.push_back(name);
  return out;
}

std::optional<UserResponse> World::last_response(const JobId& id, UserRequest request) const {
  const auto& all = responses();
  auto it = std::find_if(all.rbegin(), all.rend(), [&](const auto& response) {
    return response.job == id && response.request == request;
  });
  if (it == all.rend()) return std::nullopt;
  return *it;
}

Outcome World::run() {
  for (int number = 0; number < kControllers; ++number)
    queue_.at(0.05 * number, [this, number] { controller(number).start(); });
  for (int i = 0; i < options_.jobs; ++i)
    queue_.at(1 + queue_.uniform(0, options_.random_faults_until_s * 0.8),
              [this, i] { random_users_.submit_random_job(i); });
  for (int i = 0; i < options_.pipelines; ++i)
    queue_.at(1 + queue_.uniform(0, options_.random_faults_until_s * 0.8),
              [this, i] { random_users_.submit_random_pipeline(i); });
  if (options_.random_faults) faults_.schedule_random_faults(options_.random_faults_until_s);
  queue_.every(1, [this] {
    invariants_.check_all(std::max(faults_.last_fault_end(), last_scripted_at_s_));
    check_all_served();
  });
  while (!queue_.empty() && now() < options_.end_s && outcome_.violations.empty() &&
         outcome_.served_at == 0) {
    queue_.step();
    evaluate_probes();
  }
  if (outcome_.served_at == 0 && outcome_.violations.empty()) {
    std::string unserved;
    for (auto& [id, job] : ledger_.jobs)
      if (!invariants_.is_served(id, job, state_)) unserved += " " + id.value();
    invariants_.report_violation("forgotten", "not served by the end:" + unserved);
  }
  outcome_.deleted_machines = cloud_.requested_deletions();
  outcome_.digest = decisions_.value();
  return outcome_;
}

void World::check_all_served() {
  if (now() <= std::max(faults_.last_fault_end(), last_scripted_at_s_) + kRecoveryGracePeriod) return;
  if (ledger_.jobs.size() < static_cast<std::size_t>(options_.jobs)) return;
  for (auto& [id, job] : ledger_.jobs)
    if (!invariants_.is_served(id, job, state_)) return;
  outcome_.served_at = now();
}

void World::evaluate_probes() {
  for (auto& [name, predicate] : probes_)
    if (auto why = predicate(*this)) invariants_.report_violation(name, *why);
}

}  // namespace beaconsill::sim
