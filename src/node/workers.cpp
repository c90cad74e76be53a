#include "node/workers.h"

#include "base/log.h"
#include "node/sockets.h"

namespace beaconsill::node {
namespace {
constexpr Duration kTick = std::chrono::milliseconds(100);
// This duty's ticks are never that far apart, unless the whole process stood still.
constexpr Duration kStoodStill = std::chrono::seconds(1);
// What comes within so short a time is dealt with in one go: dozens of reports and answers come each second.
constexpr Duration kGatherEvents = std::chrono::milliseconds(10);
constexpr Duration kCommandTimeout = std::chrono::seconds(2);
// Progress is written so long after it was made: at the longest if the leader has been told of it, since then
// only a successor of this owner needs the record, and most jobs are over before.
constexpr Duration kGather = std::chrono::milliseconds(1000);
constexpr Duration kGatherTold = std::chrono::seconds(20);
// What is returned and isn't granted anew soon: until it's recorded it counts against its team's limit.
constexpr Duration kGatherReturned = std::chrono::seconds(2);
constexpr Duration kWriteCheck = std::chrono::milliseconds(500);
// Everything unwritten is told again so often, lest a message was lost.
constexpr Duration kTellAgain = std::chrono::seconds(2);
// Left of the time for a cancellation after the word of it and the lease. It has to cover the clocks' drift
// and a worker's timer only: a lease counts from when the report was sent, however slow its answer is.
constexpr double kCancelMargin_s = 1;
constexpr Duration kRelayWait = std::chrono::milliseconds(800);
constexpr std::size_t kMaxRelayed = 256;
}  // namespace

WorkersDuty::WorkersDuty(Context& ctx, PeersDuty& peers, std::function<void(wire::Outcomes)> tell)
    : ctx_(ctx),
      peers_(peers),
      tell_(std::move(tell)),
      tick_(ctx.io, [this] { tick(); }),
      soon_(ctx.io, [this] { pump(); }),
      max_channels_(plan_sockets(ctx.settings).commands) {}

void WorkersDuty::start() {
  tick_.start(kTick);
}

void WorkersDuty::stop() {
  stopped_ = true;
  tick_.stop();
  soon_.stop();
  for (auto& [name, c] : channels_) c.client->stop();
  channels_.clear();
}

Instant WorkersDuty::word() const {
  return std::max(ctx_.mirror->word(), peers_.word());
}

void WorkersDuty::own(PartId id, Term term) {
  part::PartParams p;
  p.report_period = from_seconds(ctx_.settings.report_s);
  p.lease = from_seconds(ctx_.settings.lease_s);
  p.cancel_limit = from_seconds(ctx_.settings.cancel_s);
  p.grace = ctx_.policy.grace;
  p.rules = {ctx_.policy.task_cap, ctx_.policy.reserve};
  auto& o = parts_[id];
  o = {};
  o.part = std::make_unique<part::Part>(id, term, p, ctx_.now());
  o.part->set_catalogue(ctx_.catalogue);
  for (const auto& [job, record] : ctx_.view().jobs())
    o.part->on_job(job, &record, ctx_.view().end(job), ctx_.now());
  kick();
}

void WorkersDuty::disown(PartId id) {
  parts_.erase(id);
}

// What the earlier owner wrote last may not be in the view yet: until everything was read that was written
// before this owner's term, nobody knows which machines to wait for, and the part must not pass for rebuilt.
void WorkersDuty::read_registry(PartId id, Owned& o) {
  if (o.read || o.reading) return;
  o.reading = true;
  ctx_.mirror->sync([this, id, term = o.part->term()](bool ok) {
    auto* x = stopped_ ? nullptr : find(id, term);
    if (!x) return;
    x->reading = false;
    if (!ok) return;
    x->read = true;
    load_registry(id, *x->part);
    kick();
  });
}

void WorkersDuty::load_registry(PartId id, part::Part& p) {
  std::vector<store::MachineRecord> all;
  for (std::uint32_t b = 0; b < store::kMachineBuckets; ++b) {
    const auto& bucket = ctx_.view().machines(id, b);
    all.insert(all.end(), bucket.value.begin(), bucket.value.end());
  }
  p.on_registry(all, ctx_.now());
}

WorkersDuty::Owned* WorkersDuty::find(PartId id, Term term) {
  auto it = parts_.find(id);
  return it == parts_.end() || it->second.part->term() != term ? nullptr : &it->second;
}

void WorkersDuty::on_report(const net::Request& r, const net::HttpServer::Reply& reply) {
  if (r.method != "POST") return reply({405, "{}"});
  wire::Report report;
  try {
    report = wire::parse_report(wire::parse_object(r.body));
  } catch (const wire::WireError& e) {
    spdlog::info("report dropped: {}", e.what());
    return reply({400, wire::render_error(e.what())});
  }
  auto id = ctx_.parting.of(report.zone, report.machine);
  auto it = parts_.find(id);
  if (it == parts_.end() || it->second.part->superseded()) return relay(id, r.body, reply);
  auto out = answer(it->second, id, report);
  it->second.part->on_heard_directly(report.machine, ctx_.now());
  reply(std::move(out));
  kick();
}

net::Response WorkersDuty::answer(Owned& o, PartId id, const wire::Report& report) {
  auto& part = *o.part;
  // Without word of cancellations for this long, the leases of tasks that may be cancelled have to run out.
  auto limit = from_seconds(ctx_.settings.cancel_s - ctx_.settings.lease_s - kCancelMargin_s);
  if (ctx_.now() - word() > limit) return {503, wire::render_error("out of touch"), 1};
  part.on_report(report, ctx_.now());
  if (part.superseded()) {
    ctx_.mirror->sync([](bool) {});
    return {421, wire::render_redirect(owner_of(id))};
  }
  // A stale report is answered as well: its worker is there, and commands may have overtaken it.
  if (!part.find_machine(report.machine)) return {503, wire::render_error("machine is gone"), 1};
  auto a = part.answer(report.machine, ctx_.now());
  return {200, wire::render_report_answer(a.token, a.commands)};
}

// To the owner of the highest term that the state service or a peer has told of, if it's there.
std::optional<NodeName> WorkersDuty::owner_of(PartId id) const {
  const auto& role = ctx_.view().part_role(id);
  std::optional<NodeName> owner;
  if (role.exists() && ctx_.view().alive(role.value.node)) owner = role.value.node;
  if (auto told = peers_.owner(id); told && told->term > role.value.term && peers_.reachable(told->node))
    owner = told->node;
  if (owner == ctx_.settings.node) owner.reset();
  return owner;
}

void WorkersDuty::redirect(PartId id, const net::HttpServer::Reply& reply) const {
  reply({421, wire::render_redirect(owner_of(id))});
}

// A worker that comes here may be cut off from its owner: whether it is told to go there, or answered through
// this node, is the owner's to say.
void WorkersDuty::relay(PartId id, const std::string& report, const net::HttpServer::Reply& reply) {
  auto owner = owner_of(id);
  if (!owner || !peers_.reachable(*owner) || relayed_.size() >= kMaxRelayed) return redirect(id, reply);
  auto n = next_relay_++;
  relayed_[n] = {reply, id, ctx_.now() + kRelayWait};
  peers_.send(*owner, wire::Relay{n, report});
}

void WorkersDuty::on_relay(const NodeName& from, const wire::Relay& r) {
  wire::Relayed out{r.id, 421, wire::render_redirect(ctx_.settings.node)};
  try {
    auto report = wire::parse_report(wire::parse_object(r.report));
    auto id = ctx_.parting.of(report.zone, report.machine);
    auto it = parts_.find(id);
    if (it == parts_.end() || it->second.part->superseded()) {
      out.body = wire::render_redirect(owner_of(id));
    } else if (!it->second.part->point_here(report, ctx_.now())) {
      auto a = answer(it->second, id, report);
      out.status = a.status;
      out.body = std::move(a.body);
      kick();
    }
  } catch (const wire::WireError& e) {
    spdlog::info("relayed report dropped: {}", e.what());
  }
  peers_.send(from, std::move(out));
}

void WorkersDuty::on_relayed(const wire::Relayed& r) {
  auto it = relayed_.find(r.id);
  if (it == relayed_.end()) return;
  auto reply = std::move(it->second.reply);
  relayed_.erase(it);
  reply({r.status, r.body});
}

void WorkersDuty::on_terms(const std::vector<wire::PartTerm>& terms) {
  for (const auto& t : terms)
    if (auto it = parts_.find(t.part); it != parts_.end()) it->second.part->supersede(t.term);
}

bool WorkersDuty::settled(PartId id) const {
  auto it = parts_.find(id);
  return it != parts_.end() && it->second.part->settled(ctx_.now());
}

std::vector<wire::PartTerm> WorkersDuty::owned() const {
  std::vector<wire::PartTerm> out;
  for (const auto& [id, o] : parts_)
    if (!o.part->superseded()) out.push_back({id, o.part->term()});
  return out;
}

void WorkersDuty::on_view(const store::View::Touched& t) {
  for (auto& [id, o] : parts_) {
    if (o.read && t.machines.contains(id)) load_registry(id, *o.part);
    for (const auto& job : t.jobs)
      o.part->on_job(job, ctx_.view().job(job), ctx_.view().end(job), ctx_.now());
  }
  if (!t.jobs.empty() || !t.machines.empty()) kick();
}

void WorkersDuty::on_catalogue() {
  for (auto& [id, o] : parts_) o.part->set_catalogue(ctx_.catalogue);
  kick();
}

void WorkersDuty::on_ask(const wire::Ask& a, const std::function<void(wire::Answer)>& answer) {
  for (auto& [id, o] : parts_) {
    wire::Answer out{a.round, id, o.part->term(), ctx_.mirror->revision(), {}};
    for (const auto& s : a.shapes) out.rooms.push_back(o.part->estimate(s, ctx_.now()));
    answer(std::move(out));
  }
}

void WorkersDuty::on_gone(const std::vector<MachineName>& names) {
  for (auto& [id, o] : parts_)
    for (const auto& n : names) o.part->on_deleted(n, ctx_.now());
  for (const auto& n : names) {
    auto it = channels_.find(n);
    if (it == channels_.end()) continue;
    auto client = it->second.client;
    channels_.erase(it);
    client->stop();
  }
  kick();
}

void WorkersDuty::on_release(const std::vector<MachineName>& names) {
  for (auto& [id, o] : parts_)
    for (const auto& n : names) o.part->release(n);
  kick();
}

void WorkersDuty::kick() {
  if (!soon_.pending()) soon_.set(kGatherEvents);
}

// What can wait for a moment.
void WorkersDuty::tick() {
  auto now = ctx_.now();
  if (now - ticked_ > kStoodStill)
    for (auto& [id, o] : parts_) o.part->on_stood_still(now);
  ticked_ = now;
  pump();
  for (auto& [id, o] : parts_) {
    tell_leader(id, o);
    write_registry(id, o);
    write_progress(id, o);
    remove_machines(id, o);
  }
}

// What counts for the ledger is told to the leader at once; the record follows when it's of use.
void WorkersDuty::tell_leader(PartId id, Owned& o) {
  if (o.part->superseded()) return;
  const auto& leader = ctx_.view().leader();
  if (!leader.exists()) return;
  bool all = ctx_.now() >= o.tell_all || o.told != leader.value.term;
  if (all) {
    o.tell_all = ctx_.now() + kTellAgain;
    o.told = leader.value.term;
  }
  auto jobs = o.part->outcomes(all);
  if (!jobs.empty()) tell_({id, o.part->term(), std::move(jobs)});
}

void WorkersDuty::pump() {
  for (auto it = relayed_.begin(); it != relayed_.end();) {
    if (ctx_.now() < it->second.until) {
      ++it;
      continue;
    }
    redirect(it->second.part, it->second.reply);
    it = relayed_.erase(it);
  }
  for (auto& [id, o] : parts_) {
    read_registry(id, o);
    o.part->tick(ctx_.now(), word(), ctx_.mirror->word());
    for (auto& b : o.part->take_batches(ctx_.now())) send(id, std::move(b));
  }
}

// With a connection kept to each of a thousand machines, those that report would find no socket left.
WorkersDuty::Channel& WorkersDuty::channel(const MachineName& m, const std::string& address,
                                           net::Tcp::endpoint at) {
  if (auto it = channels_.find(m); it != channels_.end()) {
    if (it->second.address == address) return it->second;
    auto client = it->second.client;
    channels_.erase(it);
    client->stop();
  }
  if (channels_.size() >= max_channels_) {
    auto oldest = channels_.end();
    for (auto it = channels_.begin(); it != channels_.end(); ++it)
      if (it->second.under_way == 0 && (oldest == channels_.end() || it->second.used < oldest->second.used))
        oldest = it;
    if (oldest != channels_.end()) {
      oldest->second.client->stop();
      channels_.erase(oldest);
    }
  }
  return channels_[m] = {address, std::make_shared<net::HttpClient>(ctx_.io, at, 1), 0, ctx_.now()};
}

void WorkersDuty::send(PartId id, part::Part::Batch b) {
  auto term = parts_.at(id).part->term();
  auto at = net::parse_endpoint(b.address);
  if (!at) {
    spdlog::error("{}: address {} is not understood", b.machine.value(), b.address);
    return;
  }
  auto& c = channel(b.machine, b.address, *at);
  ++c.under_way;
  c.used = ctx_.now();
  auto body = wire::render_commands(b.token, b.session, b.commands);
  c.client->request("POST", "/do", std::move(body), kCommandTimeout,
                    [this, id, term, b = std::move(b), client = std::weak_ptr(c.client)](net::Result r) {
                      if (stopped_) return;
                      if (auto x = channels_.find(b.machine);
                          x != channels_.end() && x->second.client == client.lock())
                        --x->second.under_way;
                      auto* o = find(id, term);
                      if (!o) return;
                      auto result = part::Part::CommandResult::kNoAnswer;
                      std::optional<wire::Report> report;
                      if (r.status == 200 || r.status == 409) {
                        try {
                          report = wire::parse_report(wire::parse_object(r.body));
                          result = r.status == 200 ? part::Part::CommandResult::kExecuted
                                                   : part::Part::CommandResult::kRejected;
                        } catch (const wire::WireError& e) {
                          spdlog::error("{}: answer dropped: {}", b.machine.value(), e.what());
                        }
                      } else if (r.answered()) {
                        spdlog::error("{}: commands were answered {}", b.machine.value(), r.status);
                      } else {
                        spdlog::debug("{}: commands had no answer", b.machine.value());
                      }
                      o->part->on_commands(b, result, report, ctx_.now());
                      kick();
                    });
}

void WorkersDuty::write_registry(PartId id, Owned& o) {
  if (o.registering) return;
  auto buckets = o.part->unregistered();
  if (buckets.empty()) return;
  const auto& role = ctx_.view().part_role(id);
  if (!role.exists() || role.value.term != o.part->term()) return;
  wire::Txn t;
  t.conditions.push_back({store::part_role_key(id), role.version});
  for (auto& [b, machines] : buckets) {
    auto key = store::machines_key(id, b);
    t.conditions.push_back({key, ctx_.view().machines(id, b).version});
    t.writes.push_back({key, store::to_json(machines), std::nullopt});
    if (t.writes.size() >= ctx_.settings.txn_ops) break;
  }
  o.registering = true;
  auto term = o.part->term();
  ctx_.store->txn(t, store::Urgency::kRole, [this, id, term, t](store::TxnResult r) {
    if (r.outcome == store::Outcome::kOk) {
      if (auto* x = find(id, term)) x->registering = false;
      return ctx_.mirror->apply_own(t, r.revision);
    }
    ctx_.mirror->sync([this, id, term](bool) {
      if (auto* x = find(id, term)) x->registering = false;
    });
  });
}

void WorkersDuty::write_progress(PartId id, Owned& o) {
  if (o.writing) return;
  auto now = ctx_.now();
  if (now < o.write_next) return;
  o.write_next = now + kWriteCheck;
  auto unwritten = o.part->unwritten();
  std::erase_if(o.unwritten, [&](const auto& u) { return !unwritten.contains(u.first); });
  if (unwritten.empty()) return;
  const auto& role = ctx_.view().part_role(id);
  if (!role.exists() || role.value.term != o.part->term()) return;
  const auto& leader = ctx_.view().leader();
  bool told = leader.exists() && peers_.reachable(leader.value.node);
  auto most = std::min<std::size_t>({ctx_.settings.txn_ops, 6, told ? ctx_.store->spare_writes() : SIZE_MAX});
  if (most == 0) return;
  wire::Txn t;
  t.conditions.push_back({store::part_role_key(id), role.version});
  for (auto& [job, progress] : unwritten) {
    auto since = o.unwritten.try_emplace(job, now).first->second;
    auto patience = !told ? kGather : progress.returned.empty() ? kGatherTold : kGatherReturned;
    if (now - since < patience) continue;
    const auto* record = ctx_.view().job(job);
    if (!record) continue;
    auto key = store::progress_key(id, job);
    auto have = record->progress.find(id);
    t.conditions.push_back({key, have == record->progress.end() ? Revision() : have->second.version});
    t.writes.push_back({key, store::to_json(progress), std::nullopt});
    if (t.writes.size() >= most) break;
  }
  if (t.writes.empty()) return;
  o.writing = true;
  auto term = o.part->term();
  ctx_.store->txn(t, store::Urgency::kWork, [this, id, term, t](store::TxnResult r) {
    if (r.outcome == store::Outcome::kOk) {
      if (auto* x = find(id, term)) x->writing = false;
      ctx_.mirror->apply_own(t, r.revision);
      return peers_.broadcast(wire::Nudge{r.revision});
    }
    ctx_.mirror->sync([this, id, term](bool) {
      if (auto* x = find(id, term)) x->writing = false;
    });
  });
}

void WorkersDuty::remove_machines(PartId id, Owned& o) {
  auto names = o.part->take_deletions(ctx_.now());
  if (names.empty()) return;
  auto term = o.part->term();
  ctx_.cloud->remove(names, [this, id, term, names](bool ok) {
    if (stopped_) return;
    if (ok) {
      peers_.broadcast(wire::Gone{names});
      return on_gone(names);
    }
    spdlog::info("cloud: deletion of {} machines had no good answer, to be repeated", names.size());
    if (auto* x = find(id, term))
      for (const auto& n : names) x->part->on_delete_failed(n, ctx_.now());
  });
}

std::vector<wire::Summary> WorkersDuty::summaries() const {
  std::vector<wire::Summary> out;
  for (const auto& [id, o] : parts_) {
    out.push_back(o.part->summary(ctx_.now()));
    out.back().seen = ctx_.mirror->revision();
  }
  return out;
}

std::uint32_t WorkersDuty::running(const JobId& id) const {
  std::uint32_t n = 0;
  for (const auto& [part, o] : parts_) n += o.part->running(id);
  return n;
}

}  // namespace beaconsill::node
