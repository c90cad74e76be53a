#include "sim/users.h"

#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kStatusTimeout = 2;
constexpr double kTimeout = 5;
constexpr double kRetry = 1;
constexpr double kPollPeriod = 5;
constexpr double kPollPeriodOver = 20;
const std::string kPath = "/v1/jobs";

std::optional<protocol::JobState> parse_state(const net::Response& response) {
  if (response.status != 200 && response.status != 201) return std::nullopt;
  auto text = protocol::parse_object(response.body).at("bearing").get<std::string>();
  if (text == "queued") return protocol::JobState::kQueued;
  if (text == "running") return protocol::JobState::kRunning;
  if (text == "done") return protocol::JobState::kDone;
  return protocol::JobState::kCancelled;
}

net::Request render(const JobId& id, UserRequest request, std::string body) {
  switch (request) {
    case UserRequest::kSubmit:
      return {"POST", kPath, "", std::move(body)};
    case UserRequest::kStatus:
      return {"GET", kPath + '/' + id.value(), "", ""};
    case UserRequest::kCancel:
      break;
  }
  return {"POST", kPath + '/' + id.value() + "/withdraw", "", ""};
}

}  // namespace

void Users::submit(int controller, const protocol::JobSpec& spec, std::optional<double> run_s,
                   OnResponse then) {
  auto& job = ledger_.jobs[spec.id];
  if (!job.spec) {
    job.spec = std::make_shared<const protocol::JobSpec>(spec);
    job.run_s = run_s;
    job.submitted = env_.queue.now();
  }
  auto sent = spec;
  if (env_.options.seeded_bug == SeededBug::kZoneDropped) sent.zone.reset();
  if (env_.options.seeded_bug == SeededBug::kDependenciesDropped) sent.depends_on.clear();
  if (env_.options.seeded_bug == SeededBug::kDependenciesRejected && !sent.depends_on.empty())
    sent.depends_on.front() = JobId("run-404404");
  if (env_.options.seeded_bug == SeededBug::kZoneConstraintsDropped) sent.one_zone = sent.spread = false;
  send_request(controller, spec.id, UserRequest::kSubmit, protocol::job_to_json(sent).dump(),
               std::move(then));
}

void Users::poll(int controller, const JobId& id, OnResponse then) {
  send_request(controller, id, UserRequest::kStatus, "", std::move(then));
}

void Users::cancel(int controller, const JobId& id, OnResponse then) {
  if (auto job = ledger_.jobs.find(id); job != ledger_.jobs.end()) job->second.cancel_requested = true;
  send_request(controller, id, UserRequest::kCancel, "", std::move(then));
}

void Users::send_request(int controller, const JobId& id, UserRequest request, std::string body,
                         OnResponse then) {
  auto& queue = env_.queue;
  auto over = std::make_shared<bool>(false);
  UserResponse unanswered{queue.now(), queue.now(), controller, id, request, 0, {}, 0};
  auto finish = [this, over, then](UserResponse response) {
    if (std::exchange(*over, true)) return;
    response.at_s = env_.queue.now();
    on_response(response);
    if (then) then(response);
  };
  queue.after(request == UserRequest::kStatus ? kStatusTimeout : kTimeout,
              [finish, unanswered] { finish(unanswered); });
  auto reply = [this, controller, id, finish, unanswered](const net::Response& response) {
    env_.decisions.on_user_response(controller, id, response);
    if (env_.network.blocked_path_to_user(controller)) return;
    auto answered = unanswered;
    answered.status = response.status;
    answered.state = parse_state(response);
    answered.retry_after_s = response.retry_after_s.value_or(0);
    env_.queue.after(env_.queue.uniform(0.0002, 0.001), [finish, answered] { finish(answered); });
  };
  if (env_.network.blocked_path_to_user(controller)) return;
  queue.after(queue.uniform(0.0002, 0.001),
              [this, controller, finish, unanswered, reply, request = render(id, request, std::move(body))] {
                if (!env_.network.up(controller)) return finish(unanswered);
                env_.network.run(controller, CallbackKind::kUserRequest, [this, controller, request, reply] {
                  env_.controller(controller).on_user(request, reply);
                });
              });
}

void Users::on_response(const UserResponse& response) {
  invariants_.on_response(response);
  responses_.push_back(response);
  auto it = ledger_.jobs.find(response.job);
  if (it == ledger_.jobs.end() || !response.ok()) return;
  auto& job = it->second;
  bool news = !job.accepted;
  job.accepted = true;
  if (response.state == protocol::JobState::kCancelled && !job.cancelled) {
    job.cancelled = response.at_s;
    news = true;
  }
  if (news) query_burst(response.job);
}

void Users::on_job_completed(const JobId& id) {
  query_burst(id);
  if (cancel_at_completion_.hits(env_.queue)) cancel_until_confirmed(id);
}

// At all controllers, again and again; some repeat the submission, some cancel at once.
void Users::query_burst(const JobId& id) {
  auto& queue = env_.queue;
  if (queue.now() >= query_bursts_until_) return;
  for (int round = 0; round < 4; ++round)
    for (int controller = 0; controller < kControllers; ++controller)
      queue.after(queue.uniform(0, 0.03), [this, id, controller] { poll(controller, id); });
  queue.after(queue.uniform(0, 0.03), [this, id, controller = queue.draw_below(kControllers)] {
    submit(controller, *ledger_.jobs.at(id).spec);
  });
  if (queue.chance(0.1)) queue.after(queue.uniform(0, 0.02), [this, id] { cancel_until_confirmed(id); });
}

int Users::random_controller() {
  int controller = env_.queue.draw_below(kControllers);
  for (int i = 0; i < kControllers; ++i, controller = (controller + 1) % kControllers)
    if (env_.network.up(controller) && env_.controller(controller).ready() &&
        !env_.network.blocked_path_to_user(controller))
      return controller;
  return controller;
}

protocol::JobSpec Users::next_spec(std::uint32_t tasks) {
  protocol::JobSpec spec;
  int number = next_job_++;
  spec.id = JobId("run-" + std::to_string(number));
  spec.job_class = "c";
  spec.team = teams()[static_cast<std::size_t>(number) % teams().size()];
  spec.tasks = tasks;
  spec.each = {1, 0, 1};
  spec.image = ImageName("img-" + std::to_string(number % 3));
  spec.image_gb = 1;
  spec.estimate_s = 3;
  return spec;
}

protocol::JobSpec Users::drawn_spec(int index) {
  auto spec = next_spec(5 + static_cast<std::uint32_t>(env_.queue.draw_below(30)));
  spec.id = JobId("run-" + std::to_string(index));
  spec.team = teams()[static_cast<std::size_t>(index) % teams().size()];
  if (index % 3 == 0) {
    spec.kind = JobKind::kService;
    spec.priority = Priority::kHigh;
    spec.tasks = 1 + static_cast<std::uint32_t>(index % 2);
  } else if (index % 4 == 2) {
    spec.tasks = 2 + static_cast<std::uint32_t>(index % 2);  // two or three, which end far apart
  }
  if (index % 5 == 1) spec.zone = Zone("west");
  if (index % 7 == 3) spec.one_zone = true;
  if (index % 7 == 5) spec.spread = true;
  return spec;
}

void Users::submit_drawn(int index) {
  auto spec = drawn_spec(index);
  bool cancelled = index % 6 == 4 || (index % 3 == 0 && index % 2);
  std::optional<double> run_s;
  if (spec.kind == JobKind::kArray && index % 4 == 1) run_s = env_.queue.uniform(15, 40);
  submit_until_accepted(spec, run_s, cancelled ? env_.queue.uniform(1, 40) : 0);
}

Users::Pipeline Users::drawn_pipeline(int index) {
  auto& queue = env_.queue;
  // By its place, the steps that each step needs.
  static const std::vector<std::vector<std::vector<std::size_t>>> kShapes{
      {{}, {0}, {1}, {2}},             // a chain
      {{}, {0}, {0}, {0}, {1, 2, 3}},  // a fan, joined
      {{}, {0}, {0}, {1, 2}},          // a diamond
      {{}, {}, {0, 1}, {1}, {2, 3}},   // two heads
  };
  const auto& needs = kShapes[static_cast<std::size_t>(index) % kShapes.size()];
  Pipeline pipeline;
  for (const auto& needed : needs) {
    auto spec = next_spec(1 + static_cast<std::uint32_t>(queue.draw_below(4)));
    spec.id = JobId("run-" + std::to_string(index) + "00" + std::to_string(pipeline.size()));
    spec.priority = Priority::kLow;
    for (auto step : needed) spec.depends_on.push_back(pipeline[step].id);
    pipeline.push_back(std::move(spec));
  }
  pipeline.back().priority = Priority::kHigh;
  pipeline.back().deadline_s = 60;
  // Some go on with what others have submitted.
  auto earlier = drawn_job();
  if (queue.chance(0.4) && earlier && ledger_.jobs.at(*earlier).spec->kind == JobKind::kArray)
    pipeline.front().depends_on.push_back(*earlier);
  return pipeline;
}

bool Users::over(const JobId& id) const {
  return std::any_of(responses_.begin(), responses_.end(), [&](const UserResponse& response) {
    return response.job == id && response.ok() && response.final();
  });
}

void Users::submit_step(const std::shared_ptr<const Pipeline>& pipeline, std::size_t step, bool last_waits) {
  if (step == pipeline->size()) return;
  const auto& spec = (*pipeline)[step];
  bool last = step + 1 == pipeline->size();
  bool ready =
      std::all_of(spec.depends_on.begin(), spec.depends_on.end(), [&](const auto& id) { return over(id); });
  if (last && last_waits && !ready)
    return env_.queue.after(kPollPeriod, [this, pipeline, step] { submit_step(pipeline, step, true); });
  submit_until_accepted(spec, std::nullopt, 0,
                        [this, pipeline, step, last_waits] { submit_step(pipeline, step + 1, last_waits); });
}

void Users::submit_pipeline(int index) {
  auto& queue = env_.queue;
  auto pipeline = std::make_shared<const Pipeline>(drawn_pipeline(index));
  submit_step(pipeline, 0, queue.chance(0.25));
  if (!queue.chance(0.5)) return;
  auto cancelled =
      (*pipeline)[static_cast<std::size_t>(queue.draw_below(static_cast<int>(pipeline->size())))].id;
  queue.after(queue.uniform(1, 40), [this, cancelled] {
    if (auto job = ledger_.jobs.find(cancelled); job != ledger_.jobs.end() && job->second.accepted)
      cancel_until_confirmed(cancelled);
  });
}

void Users::submit_small() {
  bool cancelled = env_.queue.chance(0.25);
  submit_until_accepted(next_spec(1), std::nullopt, cancelled ? env_.queue.uniform(0.05, 6) : 0);
}

void Users::submit_failing(double within_s) {
  auto spec = next_spec(1 + static_cast<std::uint32_t>(env_.queue.draw_below(20)));
  ledger_.jobs[spec.id].always_fails = true;
  submit_until_accepted(spec, std::nullopt, env_.queue.uniform(0.5, 1) * within_s);
}

void Users::poll_drawn(int queries) {
  for (int i = 0; i < queries; ++i)
    if (auto id = drawn_job(); id && ledger_.jobs.at(*id).spec) poll(random_controller(), *id);
}

void Users::fill_quotas() {
  for (const auto& team : teams()) {
    auto spec = next_spec(static_cast<std::uint32_t>(kTeamCpus) + 10);
    spec.team = team;
    submit_until_accepted(spec, env_.queue.uniform(4, 10), 0);
  }
}

// `cancel_after_s`: after it was accepted; 0: not.
void Users::submit_until_accepted(const protocol::JobSpec& spec, std::optional<double> run_s,
                                  double cancel_after_s, const std::function<void()>& then) {
  submit(random_controller(), spec, run_s,
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

void Users::cancel_until_confirmed(const JobId& id) {
  cancel(random_controller(), id, [this, id](const UserResponse& response) {
    if (!response.ok())
      env_.queue.after(std::max(kRetry, response.retry_after_s), [this, id] { cancel_until_confirmed(id); });
  });
}

void Users::poll_on(const JobId& id) {
  poll(random_controller(), id, [this, id](const UserResponse& response) {
    double wait = response.final() ? kPollPeriodOver : kPollPeriod;
    env_.queue.after(wait, [this, id] { poll_on(id); });
  });
}

std::vector<MachineName> Users::cancel_running(int count) {
  std::vector<JobId> long_to_go;
  for (const auto& [id, job] : ledger_.jobs) {
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

std::optional<JobId> Users::drawn_job() {
  if (ledger_.jobs.empty()) return std::nullopt;
  return std::next(ledger_.jobs.begin(), env_.queue.draw_below(static_cast<int>(ledger_.jobs.size())))->first;
}

void Users::invalid_request() {
  auto id = drawn_job();
  switch (env_.queue.draw_below(4)) {
    case 0:
      if (id) submit(random_controller(), *ledger_.jobs.at(*id).spec);
      return;
    case 1:
      if (id && ledger_.jobs.at(*id).done.size() == ledger_.jobs.at(*id).spec->tasks)
        cancel(random_controller(), *id);
      return;
    case 2: {
      JobId unknown("run-" + std::to_string(900000 + env_.queue.draw_below(1000)));
      if (env_.queue.chance(0.5)) return cancel(random_controller(), unknown);
      return poll(random_controller(), unknown);
    }
    case 3:
      return invalid_submission();
  }
}

// Of a job that can't run, or that lacks a field: it's not in the ledger, and must not be accepted.
void Users::invalid_submission() {
  auto spec = next_spec(4);
  bool lacks = env_.queue.chance(0.4);
  if (env_.queue.chance(0.5)) {
    spec.kind = JobKind::kService;
    spec.tasks = static_cast<std::uint32_t>(kTeamCpus) + 1;
  } else if (env_.queue.chance(0.5)) {
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
  send_request(random_controller(), spec.id, UserRequest::kSubmit, body.dump(), {});
}

}  // namespace beaconsill::sim
