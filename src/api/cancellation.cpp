#include "api/cancellation.h"

#include "net/http_status.h"

namespace beaconsill::api {

void Cancellation::handle(const JobId& id, const net::HttpServer::Reply& reply) const {
  if (!context_.reader->ready()) return reply(retry_later(kControllerStarting));
  if (auto state = status_.state(id)) {
    if (context_.view().terminal_state(id)) return reply(status_.status_response(id, *state));
    return write_terminal_record(id, reply);
  }
  context_.sync_view([this, id, reply](bool synced) {
    if (!synced) return reply(retry_later(kStateStoreUnreachable));
    auto state = status_.state(id);
    if (!state) return reply({net::status::kNotFound, protocol::render_error(kNoSuchJob)});
    if (context_.view().terminal_state(id)) return reply(status_.status_response(id, *state));
    write_terminal_record(id, reply);
  });
}

void Cancellation::write_terminal_record(const JobId& id, const net::HttpServer::Reply& reply) const {
  if (!context_.reader->is_responsive()) return reply(retry_later(kStateStoreUnreachable));
  if (context_.overloaded()) return reply(retry_later(kOverloaded, kRetryLaterS));
  const auto* job = context_.view().job(id);
  const state_store::TerminalRecord record{state_store::TerminalState::kCancelled, job->done().count()};
  protocol::Txn txn;
  txn.conditions = {{state_store::terminal_key(id), Revision()}, {state_store::job_key(id), job->created}};
  txn.writes = {{state_store::terminal_key(id), state_store::to_json(record), std::nullopt}};
  context_.commit(txn, [this, txn, id, reply](const state_store::TxnResult& result) {
    on_result(txn, id, reply, result);
  });
}

void Cancellation::on_result(const protocol::Txn& txn, const JobId& id, const net::HttpServer::Reply& reply,
                             const state_store::TxnResult& result) const {
  using state_store::TxnError;
  if (result) {
    context_.reader->apply_own_txn(txn, *result);
    reply(status_.status_response(id, protocol::JobState::kCancelled));
    return context_.hooks.on_commit(*result);
  }
  if (result.error() != TxnError::kConflict && result.error() != TxnError::kUnknown)
    return reply(retry_later(kStateStoreUnreachable));
  // The job has become done or cancelled meanwhile, or the transaction got no response. Either way, what the
  // state store holds decides.
  context_.sync_view([this, id, reply](bool synced) {
    auto state = status_.state(id);
    if (synced && state && context_.view().terminal_state(id))
      return reply(status_.status_response(id, *state));
    reply(retry_later(kOutcomeUnknown));
  });
}

}  // namespace beaconsill::api
