#include "sim/random_users.h"

#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
// In simulated seconds.
constexpr double kMinRetryDelay = 1;
constexpr double kPollPeriod = 5;
constexpr double kPollPeriodAfterEnd = 20;
}  // namespace

int RandomUsers::random_controller() {
  int controller = env_.queue.draw_below(kControllers);
  for (int i = 0; i < kControllers; ++i, controller = (controller + 1) % kControllers)
    if (env_.network.is_up(controller) && env_.controller(controller).ready() &&
        !env_.network.blocked_path_to_user(controller))
      return controller;
  return controller;
}

void RandomUsers::submit_random_job(int index) {
  auto spec = jobs_.mixed_job(index);
  if (env_.options.checkpoints) jobs_.add_checkpoint(spec);
  bool cancelled = index % 6 == 4 || (index % 3 == 0 && index % 2);
  std::optional<double> run_s;
  if (spec.kind == JobKind::kArray && index % 4 == 1) run_s = env_.queue.uniform(15, 40);
  submit_until_accepted(spec, run_s, cancelled ? env_.queue.uniform(1, 40) : 0);
}

void RandomUsers::submit_pipeline_step(const std::shared_ptr<const JobGenerator::Pipeline>& pipeline,
                                       std::size_t step, bool last_waits_for_dependencies) {
  if (step == pipeline->size()) return;
  const auto& spec = (*pipeline)[step];
  bool last = step + 1 == pipeline->size();
  bool ready = std::all_of(spec.depends_on.begin(), spec.depends_on.end(),
                           [&](const auto& id) { return users_.has_final_response(id); });
  if (last && last_waits_for_dependencies && !ready)
    return env_.queue.after(kPollPeriod,
                            [this, pipeline, step] { submit_pipeline_step(pipeline, step, true); });
  submit_until_accepted(spec, std::nullopt, 0, [this, pipeline, step, last_waits_for_dependencies] {
    submit_pipeline_step(pipeline, step + 1, last_waits_for_dependencies);
  });
}

void RandomUsers::submit_random_pipeline(int index) {
  auto& queue = env_.queue;
  auto pipeline = std::make_shared<const JobGenerator::Pipeline>(jobs_.draw_pipeline(index));
  submit_pipeline_step(pipeline, 0, queue.draw_bool(0.25));
  if (!queue.draw_bool(0.5)) return;
  auto cancelled =
      (*pipeline)[static_cast<std::size_t>(queue.draw_below(static_cast<int>(pipeline->size())))].id;
  queue.after(queue.uniform(1, 40), [this, cancelled] {
    if (auto job = ledger_.jobs.find(cancelled); job != ledger_.jobs.end() && job->second.accepted)
      cancel_until_confirmed(cancelled);
  });
}

void RandomUsers::submit_single_task_job() {
  bool cancelled = env_.queue.draw_bool(0.25);
  submit_until_accepted(jobs_.next_array(1), std::nullopt, cancelled ? env_.queue.uniform(0.05, 6) : 0);
}

void RandomUsers::submit_failing_job(double within_s) {
  auto spec = jobs_.next_array(1 + static_cast<std::uint32_t>(env_.queue.draw_below(20)));
  ledger_.jobs[spec.id].always_fails = true;
  submit_until_accepted(spec, std::nullopt, env_.queue.uniform(0.5, 1) * within_s);
}

void RandomUsers::poll_random_jobs(int queries) {
  for (int i = 0; i < queries; ++i)
    if (auto id = jobs_.random_submitted_job(); id && ledger_.jobs.at(*id).spec)
      users_.poll(random_controller(), *id);
}

void RandomUsers::fill_quotas() {
  for (const auto& team : teams()) {
    auto spec = jobs_.next_array(static_cast<std::uint32_t>(kTeamCpus) + 10);
    spec.team = team;
    submit_until_accepted(spec, env_.queue.uniform(4, 10), 0);
  }
}

// Repeats the submission until it is accepted. Then polls the job, and cancels it `cancel_after_s` seconds
// after its acceptance (0: never). `then` is called at the acceptance.
void RandomUsers::submit_until_accepted(const protocol::JobSpec& spec, std::optional<double> run_s,
                                        double cancel_after_s, const std::function<void()>& then) {
  users_.submit(random_controller(), spec, run_s,
                [this, spec, run_s, cancel_after_s, then](const UserResponse& response) {
                  if (!response.ok())
                    return env_.queue.after(std::max(kMinRetryDelay, response.retry_after_s),
                                            [this, spec, run_s, cancel_after_s, then] {
                                              submit_until_accepted(spec, run_s, cancel_after_s, then);
                                            });
                  if (then) then();
                  if (cancel_after_s > 0)
                    env_.queue.after(cancel_after_s, [this, id = spec.id] { cancel_until_confirmed(id); });
                  poll_periodically(spec.id);
                });
}

void RandomUsers::cancel_until_confirmed(const JobId& id) {
  users_.cancel(random_controller(), id, [this, id](const UserResponse& response) {
    if (!response.ok())
      env_.queue.after(std::max(kMinRetryDelay, response.retry_after_s),
                       [this, id] { cancel_until_confirmed(id); });
  });
}

void RandomUsers::poll_periodically(const JobId& id) {
  users_.poll(random_controller(), id, [this, id](const UserResponse& response) {
    double wait = response.final() ? kPollPeriodAfterEnd : kPollPeriod;
    env_.queue.after(wait, [this, id] { poll_periodically(id); });
  });
}

void RandomUsers::on_job_completed(const JobId& id) {
  send_query_burst(id);
  if (cancel_at_completion_.draw_fault(env_.queue)) cancel_until_confirmed(id);
}

// During a period of query bursts: queries all controllers repeatedly about the job, repeats its submission,
// and cancels it with a probability of 0.1.
void RandomUsers::send_query_burst(const JobId& id) {
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

std::vector<MachineName> RandomUsers::cancel_running_jobs(int count) {
  std::vector<JobId> candidates;
  for (const auto& entry : ledger_.jobs) {
    const auto& id = entry.first;
    const auto& job = entry.second;  // no structured binding, because clang 14 cannot capture one in a lambda
    bool is_running = false;
    ledger_.for_each_task(id, [&](const Machine&, const auto&, const Task& task) {
      is_running |=
          task.on_machine() && (job.spec->kind == JobKind::kService || task.ends_at - env_.queue.now() > 2);
    });
    if (is_running && job.accepted && !job.cancel_requested) candidates.push_back(id);
  }
  std::vector<MachineName> machines;
  for (int i = 0; i < count && !candidates.empty(); ++i) {
    auto chosen = candidates.begin() + env_.queue.draw_below(static_cast<int>(candidates.size()));
    auto id = *chosen;
    candidates.erase(chosen);
    ledger_.for_each_task(id, [&](const Machine& machine, const auto&, const Task& task) {
      if (task.on_machine()) machines.push_back(machine.name);
    });
    env_.queue.after(env_.queue.uniform(0, 0.2), [this, id] { cancel_until_confirmed(id); });
  }
  return machines;
}

void RandomUsers::send_invalid_request() {
  auto id = jobs_.random_submitted_job();
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
      return send_invalid_submission();
  }
}

// Submits a job that cannot run, or whose request lacks a field. The job is not in the ledger and must not be
// accepted.
void RandomUsers::send_invalid_submission() {
  auto spec = jobs_.next_array(4);
  bool remove_field = env_.queue.draw_bool(0.4);
  if (env_.queue.draw_bool(0.5)) {
    spec.kind = JobKind::kService;
    spec.tasks = static_cast<std::uint32_t>(kTeamCpus) + 1;
  } else if (env_.queue.draw_bool(0.5)) {
    spec.each.cpus = kMachineCpus + 1;
  } else {
    spec.team = Team("nobody");
  }
  auto body = protocol::job_to_json(spec);
  if (remove_field) {
    auto incomplete_body = body;
    incomplete_body.erase(std::next(incomplete_body.begin(), env_.queue.draw_below(3)));
    // The request without the field is used only if it is malformed, since some fields are optional.
    try {
      protocol::parse_job(incomplete_body);
    } catch (const protocol::ProtocolError&) {
      body = incomplete_body;
    }
  }
  users_.submit_body(random_controller(), spec.id, body.dump());
}

}  // namespace beaconsill::sim
