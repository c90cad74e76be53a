#include "api/api.h"

#include "base/log.h"
#include "state_store/sizes.h"

namespace beaconsill::api {
namespace {

using net::Response;
constexpr std::string_view kJobs = "/v1/jobs";
constexpr std::string_view kCancel = "/withdraw";
// A change that would wait longer than this for the state store's budget is refused at once.
constexpr Duration kMaxWriteWait = std::chrono::milliseconds(500);
// Every request is answered within this time of its arrival, whatever the state store does.
constexpr Duration kAnswerWithin = std::chrono::milliseconds(750);
// What can't be sent for a user by then is of no use any more.
constexpr Duration kSendWithin = std::chrono::milliseconds(600);
constexpr std::string_view kUnreachable = "state service not reachable";
constexpr std::string_view kNotAcknowledged = "cancellation not yet known to all controllers";

Response later(std::string_view reason, int after_s = 1) {
  spdlog::debug("refused for now: {}", reason);
  return {503, protocol::render_error(reason), after_s};
}

}  // namespace

Api::Api(asio::io_context& io, const Clock& clock, const config::Settings& settings,
         std::shared_ptr<state_store::TxnExecutor> store,
         std::shared_ptr<state_store::StateReader> watch_cache, Hooks hooks)
    : clock_(clock),
      settings_(settings),
      store_(std::move(store)),
      watch_cache_(std::move(watch_cache)),
      hooks_(std::move(hooks)),
      deadline_(io, kAnswerWithin, later("the state service takes too long")) {}

bool Api::is_user_path(const std::string& path) {
  return path.starts_with(kJobs);
}

void Api::handle(const net::Request& r, net::HttpServer::Reply reply) {
  if (r.path == "/up") {
    if (r.method != "GET") return reply({405, "{}"});
    return reply(hooks_.healthy() ? Response{200, "{}"} : later("not ready"));
  }
  reply = deadline_.guard(std::move(reply));
  if (r.path == kJobs) {
    if (r.method != "POST") return reply({405, "{}"});
    return submit(r, reply);
  }
  if (!r.path.starts_with(std::string(kJobs) + '/')) return reply({404, "{}"});
  std::string_view rest = std::string_view(r.path).substr(kJobs.size() + 1);
  bool to_cancel = rest.ends_with(kCancel);
  if (to_cancel) rest.remove_suffix(kCancel.size());
  // An id in any other form was never accepted.
  if (!protocol::valid_job_id(rest)) return reply({404, protocol::render_error("no such job")});
  JobId id{std::string(rest)};
  if (to_cancel) {
    if (r.method != "POST") return reply({405, "{}"});
    return cancel(id, reply);
  }
  if (r.method != "GET") return reply({405, "{}"});
  status(id, reply);
}

std::optional<protocol::JobState> Api::state(const JobId& id) const {
  const auto& view = watch_cache_->view();
  if (auto end = view.end(id))
    return *end == state_store::TerminalState::kDone ? protocol::JobState::kDone
                                                     : protocol::JobState::kCancelled;
  if (!view.job(id)) return std::nullopt;
  return hooks_.running(id) > 0 ? protocol::JobState::kRunning : protocol::JobState::kQueued;
}

bool Api::acknowledgement_pending(const JobId& id, protocol::JobState s) const {
  return s == protocol::JobState::kCancelled && !hooks_.may_acknowledge_cancellation(id);
}

Response Api::accepted(const JobId& id, protocol::JobState s) const {
  if (acknowledgement_pending(id, s)) return later(kNotAcknowledged);
  return {200, protocol::render_accepted(id, s)};
}

Response Api::known(const JobId& id, protocol::JobState s) const {
  if (acknowledgement_pending(id, s)) return later(kNotAcknowledged);
  const auto& view = watch_cache_->view();
  std::uint32_t done = 0;
  if (view.terminal_record(id).exists()) {
    done = view.terminal_record(id).value.done;
  } else if (const auto* job = view.job(id)) {
    done = job->done().count();
  }
  bool over = s == protocol::JobState::kDone || s == protocol::JobState::kCancelled;
  return {200, protocol::render_status(id, s, done, over ? 0 : hooks_.running(id))};
}

bool Api::overloaded() const {
  return store_->write_wait(state_store::Urgency::kUserRequest) > kMaxWriteWait;
}

void Api::read_now(std::function<void(bool)> done) {
  if (!watch_cache_->is_responsive()) return done(false);
  watch_cache_->sync(std::move(done));
}

void Api::submit(const net::Request& r, const net::HttpServer::Reply& reply) {
  protocol::JobSpec spec;
  try {
    spec = protocol::parse_job(protocol::parse_object(r.body));
  } catch (const protocol::ProtocolError& e) {
    return reply({400, protocol::render_error(e.what())});
  }
  if (!watch_cache_->ready()) return reply(later("starting"));
  JobId id = spec.id;
  // What was accepted once is never judged again.
  if (auto s = state(id)) {
    if (*s == protocol::JobState::kDone || *s == protocol::JobState::kCancelled)
      return reply_known(id, true, reply);
    return read_now([this, id, reply](bool fresh) { reply_known(id, fresh, reply); });
  }
  auto verdict = admit(spec, settings_, hooks_.catalogue());
  if (verdict.kind != AdmissionResult::Kind::kAccept) {
    // Another controller may have accepted it, before the catalogue changed say: only what was read can tell.
    return read_now([this, id, verdict, reply](bool fresh) {
      if (!fresh) return reply(later(kUnreachable));
      if (auto s = state(id)) return reply(accepted(id, *s));
      if (verdict.kind == AdmissionResult::Kind::kNever)
        return reply({422, protocol::render_error(verdict.reason)});
      reply(later(verdict.reason, 5));
    });
  }
  if (!first_unknown_dependency(spec)) return accept(std::move(spec), reply);
  // Another controller may just have accepted what it awaits: only what was read can tell.
  read_now([this, id, spec, reply](bool fresh) {
    if (!fresh) return reply(later(kUnreachable));
    if (auto s = state(id)) return reply(accepted(id, *s));
    const auto* unknown = first_unknown_dependency(spec);
    if (unknown) return reply({422, protocol::render_error("awaits " + unknown->value() + ", no such job")});
    accept(spec, reply);
  });
}

const JobId* Api::first_unknown_dependency(const protocol::JobSpec& spec) const {
  return api::first_unknown_dependency(
      spec, [this](const JobId& dependency) { return state(dependency).has_value(); });
}

void Api::reply_known(const JobId& id, bool fresh, const net::HttpServer::Reply& reply) const {
  if (auto s = state(id); fresh && s) return reply(accepted(id, *s));
  reply(later("state not known"));
}

// A job that awaits a cancelled one is accepted and cancelled at once. Its answer must not call it queued
// because this controller has yet to read of a cancellation that was told long ago.
void Api::reply_accepted(const JobId& id, const net::HttpServer::Reply& reply) {
  const auto* job = watch_cache_->view().job(id);
  auto answer = [this, id, reply](bool fresh) {
    auto s = state(id);
    if (!fresh || !s) return reply(later("state not known"));
    auto r = accepted(id, *s);
    if (r.status == 200) r.status = 201;
    reply(std::move(r));
  };
  bool recent = clock_.now() - watch_cache_->as_of() < from_seconds(settings_.cancel_s / 4);
  if (!job || job->record.spec->depends_on.empty() || recent) return answer(true);
  read_now(answer);
}

void Api::accept(protocol::JobSpec spec, const net::HttpServer::Reply& reply) {
  if (!watch_cache_->is_responsive()) return reply(later(kUnreachable));
  if (!spec.depends_on.empty() && !hooks_.all_support(state_store::kPipelinesSince))
    return reply(later("not all controllers know of jobs that await others", 2));
  if (overloaded()) return reply(later("too many submissions", 2));
  state_store::JobRecord record{std::make_shared<const protocol::JobSpec>(std::move(spec)), clock_.wall()};
  auto values =
      state_store::fit_job(std::move(record), std::min(settings_.value_bytes(), state_store::kMaxValueBytes));
  if (!values)
    return reply({422, protocol::render_error("its record is larger than the state service takes")});
  if (!values->depends_on.empty() && !hooks_.all_support(state_store::kUnboundedKeysSince))
    return reply(later("not all controllers know of so many awaited jobs", 2));
  write_job(*values, reply);
}

void Api::write_job(const state_store::JobValues& values, const net::HttpServer::Reply& reply) {
  const auto& id = values.record.spec->id;
  const auto& written = watch_cache_->view().dependency_keys(id);
  state_store::TxnDraft draft(settings_.txn_ops);
  draft.require({state_store::job_key(id), Revision()});
  draft.require({state_store::terminal_key(id), Revision()});
  for (std::uint32_t k = 0; k < values.depends_on.size(); ++k) {
    auto there = written.find(k);
    if (there != written.end() && there->second.value.depends_on == values.depends_on[k].depends_on) continue;
    if (!draft.add({}, {{state_store::dependency_key(id, k), state_store::to_json(values.depends_on[k]),
                         std::nullopt}}))
      break;
  }
  if (draft.empty()) return write_record(values, reply);
  // What is written by now is there when the user comes again.
  auto on_result = [this, values, reply, t = draft.txn()](state_store::TxnResult result) {
    if (result.outcome != state_store::RequestOutcome::kOk) return reply(later("state not known"));
    watch_cache_->apply_own(t, result.revision);
    write_job(values, reply);
  };
  watch_cache_->commit(draft.txn(), state_store::Urgency::kUserRequest, on_result, kSendWithin);
}

void Api::write_record(const state_store::JobValues& values, const net::HttpServer::Reply& reply) {
  const auto& id = values.record.spec->id;
  protocol::Txn t;
  t.conditions = {{state_store::job_key(id), Revision()}, {state_store::terminal_key(id), Revision()}};
  // They are dropped the first one first: then the record doesn't follow any more.
  if (!values.depends_on.empty())
    t.conditions.push_back(
        {state_store::dependency_key(id, 0), watch_cache_->view().dependency_keys(id).at(0).version});
  t.writes = {{state_store::job_key(id), state_store::to_json(values.record), std::nullopt}};
  auto on_result = [this, t, id, reply](state_store::TxnResult result) {
    switch (result.outcome) {
      case state_store::RequestOutcome::kOk:
        watch_cache_->apply_own(t, result.revision);
        spdlog::debug(
            "{} accepted ({})", id.value(),
            watch_cache_->view().job(id) ? watch_cache_->view().job(id)->record.spec->job_class : "");
        hooks_.changed(result.revision);
        return reply_accepted(id, reply);
      case state_store::RequestOutcome::kConflict:
      case state_store::RequestOutcome::kUnknown:
        // Known already, or no answer: the truth is what is stored.
        return read_now([this, id, reply](bool fresh) { reply_known(id, fresh, reply); });
      default:
        return reply(later(kUnreachable));
    }
  };
  watch_cache_->commit(t, state_store::Urgency::kUserRequest, on_result, kSendWithin);
}

void Api::status(const JobId& id, const net::HttpServer::Reply& reply) {
  auto answer = [this, id, reply](bool fresh) {
    if (!fresh) return reply(later(kUnreachable));
    if (auto s = state(id)) return reply(known(id, *s));
    reply({404, protocol::render_error("no such job")});
  };
  if (!watch_cache_->ready()) return reply(later("starting"));
  // A final state is final; everything else is read anew, since another controller may have told something
  // newer.
  if (watch_cache_->view().end(id)) return answer(true);
  read_now(answer);
}

void Api::cancel(const JobId& id, const net::HttpServer::Reply& reply) {
  if (!watch_cache_->ready()) return reply(later("starting"));
  if (auto s = state(id)) {
    if (watch_cache_->view().end(id)) return reply(known(id, *s));
    return do_cancel(id, reply);
  }
  read_now([this, id, reply](bool fresh) {
    if (!fresh) return reply(later(kUnreachable));
    auto s = state(id);
    if (!s) return reply({404, protocol::render_error("no such job")});
    if (watch_cache_->view().end(id)) return reply(known(id, *s));
    do_cancel(id, reply);
  });
}

void Api::do_cancel(const JobId& id, const net::HttpServer::Reply& reply) {
  if (!watch_cache_->is_responsive()) return reply(later(kUnreachable));
  if (overloaded()) return reply(later("too many requests", 2));
  const auto* job = watch_cache_->view().job(id);
  protocol::Txn t;
  t.conditions = {{state_store::terminal_key(id), Revision()}, {state_store::job_key(id), job->created}};
  t.writes = {{state_store::terminal_key(id),
               state_store::to_json(
                   state_store::TerminalRecord{state_store::TerminalState::kCancelled, job->done().count()}),
               std::nullopt}};
  auto on_result = [this, t, id, reply](state_store::TxnResult result) {
    if (result.outcome == state_store::RequestOutcome::kOk) {
      watch_cache_->apply_own(t, result.revision);
      reply(known(id, protocol::JobState::kCancelled));
      return hooks_.changed(result.revision);
    }
    if (result.outcome != state_store::RequestOutcome::kConflict &&
        result.outcome != state_store::RequestOutcome::kUnknown)
      return reply(later(kUnreachable));
    read_now([this, id, reply](bool fresh) {
      auto s = state(id);
      if (fresh && s && watch_cache_->view().end(id)) return reply(known(id, *s));
      reply(later("state not known"));
    });
  };
  watch_cache_->commit(t, state_store::Urgency::kUserRequest, on_result, kSendWithin);
}

}  // namespace beaconsill::api
