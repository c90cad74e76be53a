#include "sim/users.h"

#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kSubmitWait = 3;
constexpr double kCancelWait = 2.5;
constexpr double kTimeout = 5;
}  // namespace

wire::JobSpec Users::drawn_spec(int i) {
  wire::JobSpec s;
  s.id = JobId("run-" + std::to_string(i));
  s.job_class = "c";
  s.team = Team(i % 2 ? "blue" : "green");
  s.kind = i % 3 == 0 ? JobKind::kService : JobKind::kArray;
  s.priority = s.kind == JobKind::kService ? Priority::kHigh : Priority::kNormal;
  s.tasks = s.kind == JobKind::kService ? 1 + static_cast<std::uint32_t>(i % 2)
                                        : 5 + static_cast<std::uint32_t>(env_.queue.draw() % 30);
  s.each = {1, 0, 1};
  s.image = ImageName("img-" + std::to_string(i % 3));
  s.image_gb = 1;
  s.estimate_s = 3;
  if (i % 5 == 1) s.zone = Zone("west");
  return s;
}

void Users::submit_drawn(int i) {
  JobId id("run-" + std::to_string(i));
  auto& j = books_.jobs[id];
  if (!j.spec) {
    j.spec = std::make_shared<const wire::JobSpec>(drawn_spec(i));
    j.submitted = env_.queue.now();
  }
  int n = static_cast<int>(env_.queue.draw() % kControllers);
  if (!env_.network.up(n) || !env_.controller(n).ready())
    return env_.queue.after(1, [this, i] { submit_drawn(i); });
  auto spec = *j.spec;
  if (env_.options.mistake == Mistake::kZoneIgnored) spec.zone.reset();
  store::JobRecord record{std::make_shared<const wire::JobSpec>(spec), env_.queue.wall()};
  wire::Txn t{{{store::job_key(id), Revision()}, {store::end_key(id), Revision()}},
              {{store::job_key(id), store::to_json(record), std::nullopt}}};
  auto life = env_.network.life(n);
  auto answered = std::make_shared<bool>(false);
  using Result = StateService::Result;
  env_.state.txn(n, t,
                 [answered](Result r, Revision) { *answered = r == Result::kOk || r == Result::kConflict; });
  env_.queue.after(kSubmitWait, [this, i, n, life, answered, id] {
    if (!*answered || !env_.network.up(n) || env_.network.life(n) != life) return submit_drawn(i);
    books_.jobs.at(id).accepted = true;
    if (i % 6 == 4 || (i % 3 == 0 && i % 2))
      env_.queue.after(env_.queue.uniform(1, 40), [this, id] { cancel_drawn(id); });
  });
}

void Users::cancel_drawn(const JobId& id) {
  int n = static_cast<int>(env_.queue.draw() % kControllers);
  env_.queue.after(kCancelWait, [this, id] {
    const auto* end = env_.state.find(store::end_key(id));
    if (!end) return cancel_drawn(id);
    if (store::parse_ending(end->value).end == store::End::kCancelled)
      books_.jobs.at(id).cancelled = env_.queue.now();
  });
  if (!env_.network.up(n) || !env_.controller(n).view().job(id)) return;
  wire::Txn t{
      {{store::end_key(id), Revision()}, {store::job_key(id), env_.controller(n).view().job(id)->created}},
      {{store::end_key(id), store::to_json(store::Ending{store::End::kCancelled, 0}), std::nullopt}}};
  env_.state.txn(n, t, [](StateService::Result, Revision) {});
}

void Users::submit(int node, const wire::JobSpec& spec, std::optional<double> run_s) {
  auto& j = books_.jobs[spec.id];
  if (!j.spec) {
    j.spec = std::make_shared<const wire::JobSpec>(spec);
    j.run_s = run_s;
    j.submitted = env_.queue.now();
  }
  request(node, spec.id, Ask::kSubmit);
}

void Users::poll(int node, const JobId& id) {
  request(node, id, Ask::kStatus);
}

void Users::cancel(int node, const JobId& id) {
  request(node, id, Ask::kCancel);
}

void Users::request(int node, const JobId& id, Ask ask) {
  auto& q = env_.queue;
  auto answered = std::make_shared<bool>(false);
  Answer a{q.now(), q.now(), node, id, ask, 0, {}};
  q.after(kTimeout, [this, answered, a]() mutable {
    if (*answered) return;
    *answered = true;
    a.at_s = env_.queue.now();
    on_answer(a);
  });
  auto reply = [this, answered, a](int status, std::optional<wire::JobState> state) mutable {
    env_.queue.after(env_.queue.uniform(0.0002, 0.001), [this, answered, a, status, state]() mutable {
      if (*answered) return;
      *answered = true;
      a.at_s = env_.queue.now();
      a.status = status;
      a.state = state;
      on_answer(a);
    });
  };
  q.after(q.uniform(0.0002, 0.001), [this, node, id, ask, reply]() mutable {
    if (!env_.network.up(node)) return reply(0, std::nullopt);
    auto& c = env_.controller(node);
    if (ask == Ask::kSubmit) return c.submit(*books_.jobs.at(id).spec, reply);
    if (ask == Ask::kStatus) return c.status(id, reply);
    c.cancel(id, reply);
  });
}

void Users::on_answer(Answer a) {
  auto j = books_.jobs.find(a.job);
  if (j != books_.jobs.end()) {
    bool ok = a.status == 200 || a.status == 201;
    if (ok) j->second.accepted = true;
    if (ok && a.state == wire::JobState::kCancelled && !j->second.cancelled) j->second.cancelled = a.at_s;
  }
  answers_.push_back(std::move(a));
}

}  // namespace beaconsill::sim
