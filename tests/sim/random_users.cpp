#include "sim/random_users.h"

#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kRetry = 1;
constexpr double kPollPeriod = 5;
constexpr double kPollPeriodOver = 20;
}  // namespace

int RandomUsers::random_controller() {
  int controller = env_.queue.draw_below(kControllers);
  for (int i = 0; i < kControllers; ++i, controller = (controller + 1) % kControllers)
    if (env_.network.is_up(controller) && env_.controller(controller).ready() &&
        !env_.network.blocked_path_to_user(controller))
      return controller;
  return controller;
}

void RandomUsers::submit_drawn(int index) {
  auto spec = jobs_.mixed(index);
  bool cancelled = index % 6 == 4 || (index % 3 == 0 && index % 2);
  std::optional<double> run_s;
  if (spec.kind == JobKind::kArray && index % 4 == 1) run_s = env_.queue.uniform(15, 40);
  submit_until_accepted(spec, run_s, cancelled ? env_.queue.uniform(1, 40) : 0);
}

void RandomUsers::submit_step(const std::shared_ptr<const JobGenerator::Pipeline>& pipeline, std::size_t step,
                              bool last_waits) {
  if (step == pipeline->size()) return;
  const auto& spec = (*pipeline)[step];
  bool last = step + 1 == pipeline->size();
  bool ready = std::all_of(spec.depends_on.begin(), spec.depends_on.end(),
                           [&](const auto& id) { return users_.over(id); });
  if (last && last_waits && !ready)
    return env_.queue.after(kPollPeriod, [this, pipeline, step] { submit_step(pipeline, step, true); });
  submit_until_accepted(spec, std::nullopt, 0,
                        [this, pipeline, step, last_waits] { submit_step(pipeline, step + 1, last_waits); });
}

void RandomUsers::submit_pipeline(int index) {
  auto& queue = env_.queue;
  auto pipeline = std::make_shared<const JobGenerator::Pipeline>(jobs_.pipeline(index));
  submit_step(pipeline, 0, queue.draw_bool(0.25));
  if (!queue.draw_bool(0.5)) return;
  auto cancelled =
      (*pipeline)[static_cast<std::size_t>(queue.draw_below(static_cast<int>(pipeline->size())))].id;
  queue.after(queue.uniform(1, 40), [this, cancelled] {
    if (auto job = ledger_.jobs.find(cancelled); job != ledger_.jobs.end() && job->second.accepted)
      cancel_until_confirmed(cancelled);
  });
}

void RandomUsers::submit_small() {
  bool cancelled = env_.queue.draw_bool(0.25);
  submit_until_accepted(jobs_.next(1), std::nullopt, cancelled ? env_.queue.uniform(0.05, 6) : 0);
}

void RandomUsers::submit_failing(double within_s) {
  auto spec = jobs_.next(1 + static_cast<std::uint32_t>(env_.queue.draw_below(20)));
  ledger_.jobs[spec.id].always_fails = true;
  submit_until_accepted(spec, std::nullopt, env_.queue.uniform(0.5, 1) * within_s);
}

void RandomUsers::poll_drawn(int queries) {
  for (int i = 0; i < queries; ++i)
    if (auto id = jobs_.submitted_job(); id && ledger_.jobs.at(*id).spec)
      users_.poll(random_controller(), *id);
}

void RandomUsers::fill_quotas() {
  for (const auto& team : teams()) {
    auto spec = jobs_.next(static_cast<std::uint32_t>(kTeamCpus) + 10);
    spec.team = team;
    submit_until_accepted(spec, env_.queue.uniform(4, 10), 0);
  }
}

// `cancel_after_s`: after it was accepted; 0: not.
void RandomUsers::submit_until_accepted(const protocol::JobSpec& spec, std::optional<double> run_s,
                                        double cancel_after_s, const std::function<void()>& then) {
  users_.submit(random_controller(), spec, run_s,
                [this, spec, run_s, cancel_after_s, then](const UserResponse& response) {
                  if (!response.ok())
                    return env_.queue.after(std::max(kRetry, response.retry_after_s),
                                            [this, spec, run_s, cancel_after_s, then] {
                                              submit_until_accepted(spec, run_s, cancel_after_s, then);
                                            });
                  if (then) then();
                  if (cancel_after_s > 0)
                    env_.queue.after(cancel_after_s, [this, id = spec.id] { cancel_until_confirmed(id); });
                  poll_on(spec.id);
                });
}

void RandomUsers::cancel_until_confirmed(const JobId& id) {
  users_.cancel(random_controller(), id, [this, id](const UserResponse& response) {
    if (!response.ok())
      env_.queue.after(std::max(kRetry, response.retry_after_s), [this, id] { cancel_until_confirmed(id); });
  });
}

void RandomUsers::poll_on(const JobId& id) {
  users_.poll(random_controller(), id, [this, id](const UserResponse& response) {
    double wait = response.final() ? kPollPeriodOver : kPollPeriod;
    env_.queue.after(wait, [this, id] { poll_on(id); });
  });
}

void RandomUsers::on_job_completed(const JobId& id) {
  query_burst(id);
  if (cancel_at_completion_.draw_fault(env_.queue)) cancel_until_confirmed(id);
}

// At all controllers, again and again; some repeat the submission, some cancel at once.
void RandomUsers::query_burst(const JobId& id) {
  auto& queue = env_.queue;
  if (queue.now() >= query_bursts_until_) return;
  for (int round = 0; round < 4; ++round)
    for (int controller = 0; controller < kControllers; ++controller)
      queue.after(queue.uniform(0, 0.03), [this, id, controller] { users_.poll(controller, id); });
  queue.after(queue.uniform(0, 0.03), [this, id, controller = queue.draw_below(kControllers)] {
    users_.submit(controller, *ledger_.jobs.at(id).spec);
  });
  if (queue.draw_bool(0.1)) queue.after(queue.uniform(0, 0.02), [this, id] { cancel_until_confirmed(id); });
}

std::vector<MachineName> RandomUsers::cancel_running(int count) {
  std::vector<JobId> long_to_go;
  for (const auto& entry : ledger_.jobs) {
    const auto& id = entry.first;
    const auto& job = entry.second;  // no structured binding: clang 14 can't capture one
    bool runs = false;
    ledger_.each_task(id, [&](const Machine&, const auto&, const Task& task) {
      runs |= task.on_machine() && (job.spec->kind == JobKind::kService || task.ends - env_.queue.now() > 2);
    });
    if (runs && job.accepted && !job.cancel_requested) long_to_go.push_back(id);
  }
  std::vector<MachineName> there;
  for (int i = 0; i < count && !long_to_go.empty(); ++i) {
    auto chosen = long_to_go.begin() + env_.queue.draw_below(static_cast<int>(long_to_go.size()));
    auto id = *chosen;
    long_to_go.erase(chosen);
    ledger_.each_task(id, [&](const Machine& machine, const auto&, const Task& task) {
      if (task.on_machine()) there.push_back(machine.name);
    });
    env_.queue.after(env_.queue.uniform(0, 0.2), [this, id] { cancel_until_confirmed(id); });
  }
  return there;
}

void RandomUsers::invalid_request() {
  auto id = jobs_.submitted_job();
  switch (env_.queue.draw_below(4)) {
    case 0:
      if (id) users_.submit(random_controller(), *ledger_.jobs.at(*id).spec);
      return;
    case 1:
      if (id && ledger_.jobs.at(*id).done.size() == ledger_.jobs.at(*id).spec->tasks)
        users_.cancel(random_controller(), *id);
      return;
    case 2: {
      JobId unknown("run-" + std::to_string(900000 + env_.queue.draw_below(1000)));
      if (env_.queue.draw_bool(0.5)) return users_.cancel(random_controller(), unknown);
      return users_.poll(random_controller(), unknown);
    }
    case 3:
      return invalid_submission();
  }
}

// Of a job that can't run, or that lacks a field: it's not in the ledger, and must not be accepted.
void RandomUsers::invalid_submission() {
  auto spec = jobs_.next(4);
  bool lacks = env_.queue.draw_bool(0.4);
  if (env_.queue.draw_bool(0.5)) {
    spec.kind = JobKind::kService;
    spec.tasks = static_cast<std::uint32_t>(kTeamCpus) + 1;
  } else if (env_.queue.draw_bool(0.5)) {
    spec.each.cpus = kMachineCpus + 1;
  } else {
    spec.team = Team("nobody");
  }
  auto body = protocol::job_to_json(spec);
  if (lacks) {
    auto lacking = body;
    lacking.erase(std::next(lacking.begin(), env_.queue.draw_below(3)));
    // Without a field it's malformed, unless that may be null.
    try {
      protocol::parse_job(lacking);
    } catch (const protocol::ProtocolError&) {
      body = lacking;
    }
  }
  users_.submit_body(random_controller(), spec.id, body.dump());
}

}  // namespace beaconsill::sim
