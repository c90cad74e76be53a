#include "sim/users.h"

#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
// In simulated seconds.
constexpr double kStatusTimeout = 2;
constexpr double kWriteTimeout = 5;
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
                   const OnResponse& then) {
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
  send_request(controller, spec.id, UserRequest::kSubmit, protocol::job_to_json(sent).dump(), then);
}

void Users::submit_body(int controller, const JobId& id, const std::string& body) {
  send_request(controller, id, UserRequest::kSubmit, body, {});
}

void Users::poll(int controller, const JobId& id, const OnResponse& then) {
  send_request(controller, id, UserRequest::kStatus, "", then);
}

void Users::cancel(int controller, const JobId& id, const OnResponse& then) {
  if (auto job = ledger_.jobs.find(id); job != ledger_.jobs.end()) job->second.cancel_requested = true;
  send_request(controller, id, UserRequest::kCancel, "", then);
}

void Users::send_request(int controller, const JobId& id, UserRequest request, std::string body,
                         const OnResponse& then) {
  auto& queue = env_.queue;
  auto finished = std::make_shared<bool>(false);
  UserResponse unanswered{queue.now(), queue.now(), controller, id, request, 0, {}, 0};
  auto finish = [this, finished, then](UserResponse response) {
    if (std::exchange(*finished, true)) return;
    response.at_s = env_.queue.now();
    on_response(response);
    if (then) then(response);
  };
  queue.after(request == UserRequest::kStatus ? kStatusTimeout : kWriteTimeout,
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
                if (!env_.network.is_up(controller)) return finish(unanswered);
                env_.network.run(controller, CallbackKind::kUserRequest, [this, controller, request, reply] {
                  env_.controller(controller).on_user_request(request, reply);
                });
              });
}

void Users::on_response(const UserResponse& response) {
  invariants_.on_response(response);
  responses_.push_back(response);
  auto it = ledger_.jobs.find(response.job);
  if (it == ledger_.jobs.end() || !response.ok()) return;
  auto& job = it->second;
  bool status_changed = !job.accepted;
  job.accepted = true;
  if (response.state == protocol::JobState::kCancelled && !job.cancelled) {
    job.cancelled = response.at_s;
    status_changed = true;
  }
  if (status_changed) on_job_status_change_(response.job);
}

bool Users::has_final_response(const JobId& id) const {
  return std::any_of(responses_.begin(), responses_.end(), [&](const UserResponse& response) {
    return response.job == id && response.ok() && response.final();
  });
}

}  // namespace beaconsill::sim
