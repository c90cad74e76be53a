// Answers to users, by the logic of `api`: what isn't final is read through the state service first.
#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
using wire::JobState;
constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kLater = 503;
}  // namespace

std::optional<JobState> Controller::state(const JobId& id) const {
  if (auto end = p_.view.end(id)) return *end == store::End::kDone ? JobState::kDone : JobState::kCancelled;
  if (!p_.view.job(id)) return std::nullopt;
  return running(id) > 0 ? JobState::kRunning : JobState::kQueued;
}

void Controller::answer_known(const JobId& id, bool fresh, const UserReply& reply) {
  auto s = state(id);
  if (fresh && s) return reply(kOk, s);
  reply(kLater, std::nullopt);
}

void Controller::submit(const wire::JobSpec& spec, UserReply reply) {
  if (!p_.ready) return reply(kLater, std::nullopt);
  JobId id = spec.id;
  auto reread = [this, id, reply] {
    sync([this, id, reply](bool fresh) { answer_known(id, fresh, reply); });
  };
  if (p_.view.end(id)) return answer_known(id, true, reply);
  if (p_.view.job(id)) return reread();
  auto stored = spec;
  if (mistake(Mistake::kZoneIgnored)) stored.zone.reset();
  store::JobRecord record{std::make_shared<const wire::JobSpec>(stored), env_.queue.wall()};
  wire::Txn t{{{store::job_key(id), Revision()}, {store::end_key(id), Revision()}},
              {{store::job_key(id), store::to_json(record), std::nullopt}}};
  env_.state.txn(n_, t, [this, t, reread, reply](Result r, Revision rev) {
    if (r == Result::kRefused) return reply(kLater, std::nullopt);
    if (r != Result::kOk) return reread();
    apply_own(t, rev);
    reply(kCreated, JobState::kQueued);
  });
}

void Controller::status(const JobId& id, UserReply reply) {
  if (!p_.ready) return reply(kLater, std::nullopt);
  if (p_.view.end(id)) return reply(kOk, state(id));
  sync([this, id, reply](bool fresh) {
    if (!fresh) return reply(kLater, std::nullopt);
    auto s = state(id);
    reply(s ? kOk : kNotFound, s);
  });
}

void Controller::cancel(const JobId& id, UserReply reply) {
  if (!p_.ready) return reply(kLater, std::nullopt);
  if (p_.view.end(id)) return reply(kOk, state(id));
  if (p_.view.job(id)) return write_cancellation(id, reply);
  sync([this, id, reply](bool fresh) {
    if (!fresh) return reply(kLater, std::nullopt);
    if (!state(id)) return reply(kNotFound, std::nullopt);
    if (p_.view.end(id)) return reply(kOk, state(id));
    write_cancellation(id, reply);
  });
}

void Controller::write_cancellation(const JobId& id, UserReply reply) {
  const auto* job = p_.view.job(id);
  store::Ending ending{store::End::kCancelled, job->done().count()};
  wire::Txn t{{{store::end_key(id), Revision()}, {store::job_key(id), job->created}},
              {{store::end_key(id), store::to_json(ending), std::nullopt}}};
  env_.state.txn(n_, t, [this, t, id, reply](Result r, Revision rev) {
    if (r == Result::kOk) {
      apply_own(t, rev);
      return reply(kOk, JobState::kCancelled);
    }
    if (r == Result::kRefused) return reply(kLater, std::nullopt);
    sync([this, id, reply](bool fresh) {
      if (fresh && p_.view.end(id)) return reply(kOk, state(id));
      reply(kLater, std::nullopt);
    });
  });
}

}  // namespace beaconsill::sim
