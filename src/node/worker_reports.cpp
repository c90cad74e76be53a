// Reports of workers: answered here if this node owns the part, else relayed to its owner.
#include "base/log.h"
#include "node/workers.h"

namespace beaconsill::node {
namespace {
// Left of the time limit for a cancelled task after the lease that is granted last. It has to cover the
// clocks' drift and a worker's timer only: a lease counts from when the report was sent, however slow its
// answer is.
constexpr double kCancelMarginSeconds = 1;
constexpr Duration kRelayWait = std::chrono::milliseconds(800);
}  // namespace

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
  it->second.part->on_heard_directly(report.machine);
  reply(std::move(out));
  kick();
}

net::Response WorkersDuty::answer(Owned& o, PartId id, const wire::Report& report) {
  auto& part = *o.part;
  // After this long without news of cancellations, the leases of tasks that may be cancelled have to run out.
  auto limit = from_seconds(ctx_.settings.cancel_s - ctx_.settings.lease_s - kCancelMarginSeconds);
  if (ctx_.now() - cancellations_known_until() > limit) return {503, wire::render_error("out of touch"), 1};
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
  if (!owner || !peers_.reachable(*owner) || relayed_.size() >= max_relayed_) return redirect(id, reply);
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

}  // namespace beaconsill::node
