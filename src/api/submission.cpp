#include "api/submission.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "net/http_status.h"
#include "state_store/txn_draft.h"

namespace beaconsill::api {
namespace {

using state_store::TxnError;
using state_store::TxnResult;

}  // namespace

void Submission::handle(const net::Request& request, const Reply& reply) const {
  protocol::JobSpec spec;
  try {
    spec = protocol::parse_job(protocol::parse_object(request.body));
  } catch (const protocol::ProtocolError& error) {
    return reply({net::status::kBadRequest, protocol::render_error(error.what())});
  }
  if (!context_.reader->ready()) return reply(retry_later(kControllerStarting));
  // Admission control does not run again for a job that was accepted before.
  if (auto state = status_.state(spec.id)) return handle_existing(spec.id, *state, reply);
  const auto result = admit(spec, context_.settings, context_.hooks.catalogue());
  if (result.kind != AdmissionResult::Kind::kAccept) return refuse_after_sync(spec.id, result, reply);
  if (first_unknown_dependency(spec)) return accept_after_sync(spec, reply);
  accept(std::move(spec), reply);
}

void Submission::handle_existing(const JobId& id, protocol::JobState state, const Reply& reply) const {
  if (state == protocol::JobState::kDone || state == protocol::JobState::kCancelled)
    return reply_existing(id, true, reply);
  context_.sync_view([this, id, reply](bool synced) { reply_existing(id, synced, reply); });
}

// Another controller may have accepted the job before, for example with an older catalogue of machine types.
// Only an up-to-date view shows whether one has.
void Submission::refuse_after_sync(const JobId& id, const AdmissionResult& refusal,
                                   const Reply& reply) const {
  context_.sync_view([this, id, refusal, reply](bool synced) {
    if (!synced) return reply(retry_later(kStateStoreUnreachable));
    if (auto state = status_.state(id)) return reply(status_.accepted_response(id, *state));
    if (refusal.kind == AdmissionResult::Kind::kReject)
      return reply({net::status::kUnprocessableContent, protocol::render_error(refusal.reason)});
    reply(retry_later(refusal.reason, kRetryMuchLaterS));
  });
}

// Another controller may just have accepted the job's dependencies. Only an up-to-date view contains them.
void Submission::accept_after_sync(const protocol::JobSpec& spec, const Reply& reply) const {
  context_.sync_view([this, spec, reply](bool synced) {
    if (!synced) return reply(retry_later(kStateStoreUnreachable));
    if (auto state = status_.state(spec.id)) return reply(status_.accepted_response(spec.id, *state));
    if (const auto* unknown = first_unknown_dependency(spec))
      return reply({net::status::kUnprocessableContent,
                    protocol::render_error("depends on job " + unknown->value() + ", which does not exist")});
    accept(spec, reply);
  });
}

const JobId* Submission::first_unknown_dependency(const protocol::JobSpec& spec) const {
  return api::first_unknown_dependency(
      spec, [this](const JobId& dependency) { return status_.state(dependency).has_value(); });
}

void Submission::reply_existing(const JobId& id, bool synced, const Reply& reply) const {
  if (auto state = status_.state(id); synced && state) return reply(status_.accepted_response(id, *state));
  reply(retry_later(kOutcomeUnknown));
}

// A job with a cancelled dependency is accepted and cancelled at once. The response must not report it as
// queued merely because this controller has not yet read a cancellation that was acknowledged earlier.
void Submission::reply_accepted(const JobId& id, const Reply& reply) const {
  const auto* job = context_.view().job(id);
  auto respond = [this, id, reply](bool synced) {
    auto state = status_.state(id);
    if (!synced || !state) return reply(retry_later(kOutcomeUnknown));
    auto response = status_.accepted_response(id, *state);
    if (response.status == net::status::kOk) response.status = net::status::kCreated;
    reply(std::move(response));
  };
  const auto read_at = context_.reader->up_to_date_at();
  const bool recent =
      read_at && context_.clock.now() - *read_at < from_seconds(context_.settings.cancel_s / 4);
  if (!job || job->record.spec->depends_on.empty() || recent) return respond(true);
  context_.sync_view(respond);
}

void Submission::accept(protocol::JobSpec spec, const Reply& reply) const {
  if (!context_.reader->is_responsive()) return reply(retry_later(kStateStoreUnreachable));
  if (!spec.depends_on.empty() &&
      !context_.hooks.all_controllers_support(state_store::kDependenciesMinVersion))
    return reply(retry_later("not all controllers support jobs with dependencies yet", kRetryLaterS));
  if (context_.overloaded()) return reply(retry_later(kOverloaded, kRetryLaterS));
  state_store::JobRecord record{std::make_shared<const protocol::JobSpec>(std::move(spec)),
                                context_.clock.wall()};
  const auto max_bytes = std::min(context_.settings.value_bytes(), state_store::kMaxValueBytes);
  auto values = state_store::split_job_record(std::move(record), max_bytes);
  if (!values)
    return reply({net::status::kUnprocessableContent,
                  protocol::render_error("the job's record does not fit into " + std::to_string(max_bytes) +
                                         " bytes, the limit of a value in the state store")});
  if (!values->depends_on.empty() &&
      !context_.hooks.all_controllers_support(state_store::kUnboundedKeysMinVersion))
    return reply(
        retry_later("not all controllers support this many dependencies of a job yet", kRetryLaterS));
  write_job(*values, reply);
}

void Submission::write_job(const state_store::JobValues& values, const Reply& reply) const {
  const auto& id = values.record.spec->id;
  const auto& written = context_.view().dependency_keys(id);
  state_store::TxnDraft draft(context_.settings.txn_ops);
  draft.require({state_store::job_key(id), Revision()});
  draft.require({state_store::terminal_key(id), Revision()});
  for (std::uint32_t i = 0; i < values.depends_on.size(); ++i) {
    const auto& segment = values.depends_on[i];
    auto key = written.find(i);
    if (key != written.end() && key->second.value.depends_on == segment.depends_on) continue;
    if (!draft.add({}, {{state_store::dependency_key(id, i), state_store::to_json(segment), std::nullopt}}))
      break;
  }
  if (draft.empty()) return write_record(values, reply);
  // The segments written so far remain stored, so a repeated submission continues from there.
  context_.commit(draft.txn(), [this, values, reply, txn = draft.txn()](const TxnResult& result) {
    if (!result) return reply(retry_later(kOutcomeUnknown));
    context_.reader->apply_own_txn(txn, *result);
    write_job(values, reply);
  });
}

void Submission::write_record(const state_store::JobValues& values, const Reply& reply) const {
  const auto& id = values.record.spec->id;
  protocol::Txn txn;
  txn.conditions = {{state_store::job_key(id), Revision()}, {state_store::terminal_key(id), Revision()}};
  // The garbage collector deletes the dependency keys of a job in ascending order. The condition on the first
  // one makes this transaction fail if the deletion has begun.
  if (!values.depends_on.empty())
    txn.conditions.push_back(
        {state_store::dependency_key(id, 0), context_.view().dependency_keys(id).at(0).revision});
  txn.writes = {{state_store::job_key(id), state_store::to_json(values.record), std::nullopt}};
  context_.commit(
      txn, [this, txn, id, reply](const TxnResult& result) { on_record_result(txn, id, reply, result); });
}

void Submission::on_record_result(const protocol::Txn& txn, const JobId& id, const Reply& reply,
                                  const TxnResult& result) const {
  if (result) {
    context_.reader->apply_own_txn(txn, *result);
    spdlog::debug("job_accepted job={} revision={}", id.value(), result->value());
    context_.hooks.on_commit(*result);
    return reply_accepted(id, reply);
  }
  switch (result.error()) {
    case TxnError::kConflict:
    case TxnError::kUnknown:
      // The job is stored already, or the transaction got no response. Either way, what the state store holds
      // decides.
      return context_.sync_view([this, id, reply](bool synced) { reply_existing(id, synced, reply); });
    case TxnError::kNotExecuted:
    case TxnError::kRejected:
      return reply(retry_later(kStateStoreUnreachable));
  }
}

}  // namespace beaconsill::api
