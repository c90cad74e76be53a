#include "api/api.h"

#include "base/log.h"
#include "store/sizes.h"

namespace beaconsill::api {
namespace {

using net::Response;
constexpr std::string_view kJobs = "/v1/jobs";
constexpr std::string_view kCancel = "/withdraw";
// A change that would wait longer than this for the state service's budget is refused at once.
constexpr Duration kMaxWriteWait = std::chrono::milliseconds(500);
// Every request is answered within this time of its arrival, whatever the state service does.
constexpr Duration kAnswerWithin = std::chrono::milliseconds(750);
// What can't be sent for a user by then is of no use any more.
constexpr Duration kSendWithin = std::chrono::milliseconds(600);
constexpr std::string_view kUnreachable = "state service not reachable";
constexpr std::string_view kNotAcknowledged = "cancellation not yet known to all controllers";

Response later(std::string_view reason, int after_s = 1) {
  spdlog::debug("refused for now: {}", reason);
  return {503, wire::render_error(reason), after_s};
}

}  // namespace

Api::Api(asio::io_context& io, const Clock& clock, const config::Settings& settings,
         std::shared_ptr<store::TxnSink> store, std::shared_ptr<store::ViewSource> mirror, Hooks hooks)
    : clock_(clock),
      settings_(settings),
      store_(std::move(store)),
      mirror_(std::move(mirror)),
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
  if (!wire::valid_job_id(rest)) return reply({404, wire::render_error("no such job")});
  JobId id{std::string(rest)};
  if (to_cancel) {
    if (r.method != "POST") return reply({405, "{}"});
    return cancel(id, reply);
  }
  if (r.method != "GET") return reply({405, "{}"});
  status(id, reply);
}

std::optional<wire::JobState> Api::state(const JobId& id) const {
  const auto& view = mirror_->view();
  if (auto end = view.end(id))
    return *end == store::End::kDone ? wire::JobState::kDone : wire::JobState::kCancelled;
  if (!view.job(id)) return std::nullopt;
  return hooks_.running(id) > 0 ? wire::JobState::kRunning : wire::JobState::kQueued;
}

bool Api::withheld(const JobId& id, wire::JobState s) const {
  return s == wire::JobState::kCancelled && !hooks_.disclose(id);
}

Response Api::accepted(const JobId& id, wire::JobState s) const {
  if (withheld(id, s)) return later(kNotAcknowledged);
  return {200, wire::render_accepted(id, s)};
}

Response Api::known(const JobId& id, wire::JobState s) const {
  if (withheld(id, s)) return later(kNotAcknowledged);
  const auto& view = mirror_->view();
  std::uint32_t done = 0;
  if (view.ending(id).exists()) {
    done = view.ending(id).value.done;
  } else if (const auto* job = view.job(id)) {
    done = job->done().count();
  }
  bool over = s == wire::JobState::kDone || s == wire::JobState::kCancelled;
  return {200, wire::render_status(id, s, done, over ? 0 : hooks_.running(id))};
}

bool Api::overloaded() const {
  return store_->write_wait(store::Urgency::kUser) > kMaxWriteWait;
}

void Api::read_now(std::function<void(bool)> done) {
  if (!mirror_->answers()) return done(false);
  mirror_->sync(std::move(done));
}

void Api::submit(const net::Request& r, const net::HttpServer::Reply& reply) {
  wire::JobSpec spec;
  try {
    spec = wire::parse_job(wire::parse_object(r.body));
  } catch (const wire::WireError& e) {
    return reply({400, wire::render_error(e.what())});
  }
  if (!mirror_->ready()) return reply(later("starting"));
  JobId id = spec.id;
  // What was accepted once is never judged again.
  if (auto s = state(id)) {
    if (*s == wire::JobState::kDone || *s == wire::JobState::kCancelled) return reply_known(id, true, reply);
    return read_now([this, id, reply](bool fresh) { reply_known(id, fresh, reply); });
  }
  auto verdict = admit(spec, settings_, hooks_.catalogue());
  if (verdict.kind != Verdict::Kind::kAccept) {
    // Another node may have accepted it, before the catalogue changed say: only what was read can tell.
    return read_now([this, id, verdict, reply](bool fresh) {
      if (!fresh) return reply(later(kUnreachable));
      if (auto s = state(id)) return reply(accepted(id, *s));
      if (verdict.kind == Verdict::Kind::kNever) return reply({422, wire::render_error(verdict.reason)});
      reply(later(verdict.reason, 5));
    });
  }
  if (!first_unknown(spec)) return accept(std::move(spec), reply);
  // Another node may just have accepted what it awaits: only what was read can tell.
  read_now([this, id, spec, reply](bool fresh) {
    if (!fresh) return reply(later(kUnreachable));
    if (auto s = state(id)) return reply(accepted(id, *s));
    const auto* unknown = first_unknown(spec);
    if (unknown) return reply({422, wire::render_error("awaits " + unknown->value() + ", no such job")});
    accept(spec, reply);
  });
}

const JobId* Api::first_unknown(const wire::JobSpec& spec) const {
  return api::first_unknown(spec, [this](const JobId& awaited) { return state(awaited).has_value(); });
}

void Api::reply_known(const JobId& id, bool fresh, const net::HttpServer::Reply& reply) const {
  if (auto s = state(id); fresh && s) return reply(accepted(id, *s));
  reply(later("state not known"));
}

// A job that awaits a cancelled one is accepted and cancelled at once. Its answer must not call it queued
// because this node has yet to read of a cancellation that was told long ago.
void Api::reply_accepted(const JobId& id, const net::HttpServer::Reply& reply) {
  const auto* job = mirror_->view().job(id);
  auto answer = [this, id, reply](bool fresh) {
    auto s = state(id);
    if (!fresh || !s) return reply(later("state not known"));
    auto r = accepted(id, *s);
    if (r.status == 200) r.status = 201;
    reply(std::move(r));
  };
  bool recent = clock_.now() - mirror_->as_of() < from_seconds(settings_.cancel_s / 4);
  if (!job || job->record.spec->awaits.empty() || recent) return answer(true);
  read_now(answer);
}

void Api::accept(wire::JobSpec spec, const net::HttpServer::Reply& reply) {
  if (!mirror_->answers()) return reply(later(kUnreachable));
  if (!spec.awaits.empty() && !hooks_.all_know(store::kPipelinesSince))
    return reply(later("not all controllers know of jobs that await others", 2));
  if (overloaded()) return reply(later("too many submissions", 2));
  store::JobRecord record{std::make_shared<const wire::JobSpec>(std::move(spec)), clock_.wall()};
  auto values = store::fit_job(std::move(record), std::min(settings_.value_bytes(), store::kMaxValueBytes));
  if (!values) return reply({422, wire::render_error("its record is larger than the state service takes")});
  if (!values->awaits.empty() && !hooks_.all_know(store::kUnboundedKeysSince))
    return reply(later("not all controllers know of so many awaited jobs", 2));
  write_job(*values, reply);
}

void Api::write_job(const store::JobValues& values, const net::HttpServer::Reply& reply) {
  const auto& id = values.record.spec->id;
  const auto& written = mirror_->view().awaits_keys(id);
  store::TxnDraft draft(settings_.txn_ops);
  draft.require({store::job_key(id), Revision()});
  draft.require({store::end_key(id), Revision()});
  for (std::uint32_t k = 0; k < values.awaits.size(); ++k) {
    auto there = written.find(k);
    if (there != written.end() && there->second.value.awaits == values.awaits[k].awaits) continue;
    if (!draft.add({}, {{store::awaits_key(id, k), store::to_json(values.awaits[k]), std::nullopt}})) break;
  }
  if (draft.empty()) return write_record(values, reply);
  // What is written by now is there when the user comes again.
  auto on_result = [this, values, reply, t = draft.txn()](store::TxnResult result) {
    if (result.outcome != store::Outcome::kOk) return reply(later("state not known"));
    mirror_->apply_own(t, result.revision);
    write_job(values, reply);
  };
  mirror_->commit(draft.txn(), store::Urgency::kUser, on_result, kSendWithin);
}

void Api::write_record(const store::JobValues& values, const net::HttpServer::Reply& reply) {
  const auto& id = values.record.spec->id;
  wire::Txn t;
  t.conditions = {{store::job_key(id), Revision()}, {store::end_key(id), Revision()}};
  // They are dropped the first one first: then the record doesn't follow any more.
  if (!values.awaits.empty())
    t.conditions.push_back({store::awaits_key(id, 0), mirror_->view().awaits_keys(id).at(0).version});
  t.writes = {{store::job_key(id), store::to_json(values.record), std::nullopt}};
  auto on_result = [this, t, id, reply](store::TxnResult result) {
    switch (result.outcome) {
      case store::Outcome::kOk:
        mirror_->apply_own(t, result.revision);
        spdlog::debug("{} accepted ({})", id.value(),
                      mirror_->view().job(id) ? mirror_->view().job(id)->record.spec->job_class : "");
        hooks_.changed(result.revision);
        return reply_accepted(id, reply);
      case store::Outcome::kConflict:
      case store::Outcome::kUnknown:
        // Known already, or no answer: the truth is what is stored.
        return read_now([this, id, reply](bool fresh) { reply_known(id, fresh, reply); });
      default:
        return reply(later(kUnreachable));
    }
  };
  mirror_->commit(t, store::Urgency::kUser, on_result, kSendWithin);
}

void Api::status(const JobId& id, const net::HttpServer::Reply& reply) {
  auto answer = [this, id, reply](bool fresh) {
    if (!fresh) return reply(later(kUnreachable));
    if (auto s = state(id)) return reply(known(id, *s));
    reply({404, wire::render_error("no such job")});
  };
  if (!mirror_->ready()) return reply(later("starting"));
  // A final state is final; everything else is read anew, since another node may have told something newer.
  if (mirror_->view().end(id)) return answer(true);
  read_now(answer);
}

void Api::cancel(const JobId& id, const net::HttpServer::Reply& reply) {
  if (!mirror_->ready()) return reply(later("starting"));
  if (auto s = state(id)) {
    if (mirror_->view().end(id)) return reply(known(id, *s));
    return do_cancel(id, reply);
  }
  read_now([this, id, reply](bool fresh) {
    if (!fresh) return reply(later(kUnreachable));
    auto s = state(id);
    if (!s) return reply({404, wire::render_error("no such job")});
    if (mirror_->view().end(id)) return reply(known(id, *s));
    do_cancel(id, reply);
  });
}

void Api::do_cancel(const JobId& id, const net::HttpServer::Reply& reply) {
  if (!mirror_->answers()) return reply(later(kUnreachable));
  if (overloaded()) return reply(later("too many requests", 2));
  const auto* job = mirror_->view().job(id);
  wire::Txn t;
  t.conditions = {{store::end_key(id), Revision()}, {store::job_key(id), job->created}};
  t.writes = {{store::end_key(id), store::to_json(store::Ending{store::End::kCancelled, job->done().count()}),
               std::nullopt}};
  auto on_result = [this, t, id, reply](store::TxnResult result) {
    if (result.outcome == store::Outcome::kOk) {
      mirror_->apply_own(t, result.revision);
      reply(known(id, wire::JobState::kCancelled));
      return hooks_.changed(result.revision);
    }
    if (result.outcome != store::Outcome::kConflict && result.outcome != store::Outcome::kUnknown)
      return reply(later(kUnreachable));
    read_now([this, id, reply](bool fresh) {
      auto s = state(id);
      if (fresh && s && mirror_->view().end(id)) return reply(known(id, *s));
      reply(later("state not known"));
    });
  };
  mirror_->commit(t, store::Urgency::kUser, on_result, kSendWithin);
}

}  // namespace beaconsill::api
