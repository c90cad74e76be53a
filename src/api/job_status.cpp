#include "api/job_status.h"

#include "net/http_status.h"

namespace beaconsill::api {
namespace {

using protocol::JobState;

constexpr std::string_view kCancellationNotAcknowledged =
    "the cancellation is not yet known to all controllers";

}  // namespace

void JobStatus::handle(const JobId& id, const net::HttpServer::Reply& reply) const {
  auto respond = [this, id, reply](bool synced) {
    if (!synced) return reply(retry_later(kStateStoreUnreachable));
    if (auto current = state(id)) return reply(status_response(id, *current));
    reply({net::status::kNotFound, protocol::render_error(kNoSuchJob)});
  };
  if (!context_.reader->ready()) return reply(retry_later(kControllerStarting));
  // A terminal state never changes. Any other state is read again from the state store, because another
  // controller may already have revealed a newer one.
  if (context_.view().terminal_state(id)) return respond(true);
  context_.sync_view(respond);
}

std::optional<JobState> JobStatus::state(const JobId& id) const {
  const auto& view = context_.view();
  if (auto terminal_state = view.terminal_state(id))
    return *terminal_state == state_store::TerminalState::kDone ? JobState::kDone : JobState::kCancelled;
  if (!view.job(id)) return std::nullopt;
  return context_.hooks.running_tasks(id) > 0 ? JobState::kRunning : JobState::kQueued;
}

bool JobStatus::acknowledgement_pending(const JobId& id, JobState state) const {
  return state == JobState::kCancelled && !context_.hooks.may_reveal_cancellation(id);
}

net::Response JobStatus::accepted_response(const JobId& id, JobState state) const {
  if (acknowledgement_pending(id, state)) return retry_later(kCancellationNotAcknowledged);
  return {net::status::kOk, protocol::render_submission_response(id, state)};
}

net::Response JobStatus::status_response(const JobId& id, JobState state) const {
  if (acknowledgement_pending(id, state)) return retry_later(kCancellationNotAcknowledged);
  const bool terminal = state == JobState::kDone || state == JobState::kCancelled;
  const auto running = terminal ? 0 : context_.hooks.running_tasks(id);
  return {net::status::kOk, protocol::render_status(id, state, done_tasks(id), running)};
}

std::uint32_t JobStatus::done_tasks(const JobId& id) const {
  const auto& view = context_.view();
  if (const auto& record = view.terminal_record(id); record.exists()) return record.value.done;
  const auto* job = view.job(id);
  return job ? job->done().count() : 0;
}

}  // namespace beaconsill::api
