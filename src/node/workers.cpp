#include "node/workers.h"

#include "base/log.h"
#include "node/sockets.h"

namespace beaconsill::node {
namespace {
constexpr Duration kTick = std::chrono::milliseconds(100);
// What comes within so short a time is dealt with in one go: dozens of reports and answers come each second.
constexpr Duration kGatherEvents = std::chrono::milliseconds(10);
constexpr Duration kCommandTimeout = std::chrono::seconds(2);
}  // namespace

WorkersDuty::WorkersDuty(Context& ctx, PeersDuty& peers, std::function<void(wire::Outcomes)> tell)
    : ctx_(ctx),
      peers_(peers),
      tell_(std::move(tell)),
      tick_(ctx.io, [this] { tick(); }),
      soon_(ctx.io, [this] { pump(); }),
      max_channels_(plan_sockets(ctx.settings).commands),
      max_relayed_(plan_sockets(ctx.settings).served) {}

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

Instant WorkersDuty::cancellations_known_until() const {
  return std::max(ctx_.mirror->as_of(), peers_.cancellations_known_until());
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

WorkersDuty::Owned* WorkersDuty::find(PartId id, Term term) {
  auto it = parts_.find(id);
  return it == parts_.end() || it->second.part->term() != term ? nullptr : &it->second;
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
  ctx_.stand_still.observe(now);
  if (ctx_.stand_still.over() != woke_) {
    woke_ = ctx_.stand_still.over();
    for (auto& [id, o] : parts_) o.part->on_stood_still(now);
  }
  pump();
  for (auto& [id, o] : parts_) {
    tell_leader(id, o);
    write_registry(id, o);
    write_progress(id, o);
    remove_machines(id, o);
  }
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
    o.part->tick(ctx_.now(), cancellations_known_until(), ctx_.mirror->as_of());
    for (auto& b : o.part->take_batches(ctx_.now())) send(id, std::move(b));
  }
}

// With a connection kept to each of a thousand machines, those that report would find no socket left.
WorkersDuty::Channel& WorkersDuty::channel(const MachineName& m, const std::string& address,
                                           const net::Tcp::endpoint& at) {
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
    // Else the part would wait for an answer for good, and so would the tasks that it placed there.
    parts_.at(id).part->on_commands(b, part::Part::CommandResult::kNoAnswer, std::nullopt, ctx_.now());
    return;
  }
  auto& c = channel(b.machine, b.address, *at);
  ++c.under_way;
  c.used = ctx_.now();
  auto body = wire::render_commands(b.token, b.session, b.commands);
  c.client->request("POST", "/do", body, kCommandTimeout,
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
