#include "part/cancellation_disclosure.h"

#include <algorithm>

namespace beaconsill::part {
namespace {
// Heartbeats whose echoes are waited for, for each peer.
constexpr std::size_t kMaxSent = 64;
// Steady clocks of different machines drift apart by as much as 0.05%; twice that is taken off a promise.
constexpr double kDriftMargin = 0.001;

// The first one above the revision.
auto first_after(const std::set<wire::CancelledJob>& jobs, Revision r) {
  return jobs.lower_bound({Revision(r.value() + 1), JobId(), 0});
}
}  // namespace

CancellationDisclosure::CancellationDisclosure(Params params, const std::vector<NodeName>& peers,
                                               Instant started)
    : params_(params) {
  for (const auto& name : peers) peers_[name].promised_until = started + params_.promise;
}

bool CancellationDisclosure::has(const Peer& p, const wire::CancelledJob& job) const {
  return job.revision <= p.read_until || p.acknowledged.contains(job);
}

wire::Disclosure CancellationDisclosure::outgoing(const NodeName& peer, std::uint64_t sequence,
                                                  const Known& known, Instant now) {
  auto& p = peers_.at(peer);
  wire::Disclosure d;
  d.ready = known.ready;
  if (known.ready) d.read_until = known.read_until;
  // A peer that isn't ready can conclude nothing; it reads all by itself.
  if (known.ready && p.ready) {
    d.complete = true;
    for (auto it = first_after(known.cancelled, p.read_until); it != known.cancelled.end(); ++it) {
      if (p.acknowledged.contains(*it)) continue;
      if (d.cancelled.size() == params_.max_listed) {
        d.complete = false;
        break;
      }
      d.cancelled.push_back(*it);
    }
  }
  if (p.ready && now - p.echoed < params_.in_touch) {
    d.promise = std::chrono::floor<std::chrono::milliseconds>(params_.promise);
    p.promised_until = std::max(p.promised_until, now + params_.promise);
  }
  p.sent.push_back({sequence, now, d.cancelled});
  if (p.sent.size() > kMaxSent) p.sent.pop_front();
  return d;
}

const CancellationDisclosure::Sent* CancellationDisclosure::find_echoed(Peer& p, const wire::Heartbeat& h) {
  auto sent = std::find_if(p.sent.begin(), p.sent.end(), [&](const Sent& s) { return s.sequence == h.echo; });
  if (sent == p.sent.end()) return nullptr;
  p.sent.erase(p.sent.begin(), sent);
  return &p.sent.front();
}

void CancellationDisclosure::acknowledge(Peer& p, const std::vector<wire::CancelledJob>& jobs) {
  for (const auto& job : jobs)
    if (job.revision > p.read_until) p.acknowledged.insert(job);
}

void CancellationDisclosure::learn(Peer& p, const wire::Disclosure& d) {
  p.read_until = std::max(p.read_until, d.read_until);
  p.acknowledged.erase(p.acknowledged.begin(), first_after(p.acknowledged, p.read_until));
  // What a peer lists it has.
  acknowledge(p, d.cancelled);
}

bool CancellationDisclosure::on_heartbeat(const NodeName& peer, const wire::Heartbeat& h, const Known& known,
                                          Instant now) {
  auto& p = peers_.at(peer);
  p.received = h.sequence;
  if (h.disclosure) learn(p, *h.disclosure);
  bool answer = h.disclosure && !h.disclosure->cancelled.empty();
  // Without an echo of a heartbeat of this process it may be minutes old.
  if (const auto* echoed = find_echoed(p, h)) {
    // A version without disclosures echoes what it hasn't read.
    if (h.disclosure) acknowledge(p, echoed->listed);
    conclude(p, h, echoed->at, known, now);
    answer |= !echoed->listed.empty() && lacks_some(peer, known);
  }
  return answer;
}

void CancellationDisclosure::conclude(Peer& p, const wire::Heartbeat& h, Instant echoed, const Known& known,
                                      Instant now) {
  if (h.disclosure) extend_cover(p, *h.disclosure, echoed, known.ready, now);
  if (echoed < p.echoed) return;
  p.echoed = echoed;
  p.ready = h.disclosure && h.disclosure->ready;
  if (!h.disclosure) cover_without_promise(p, h, echoed, known);
}

// The heartbeat was sent after the one that it echoes, so its promise lasts until `echoed` + promise at
// least. What was disclosed before it was sent is known here if it lists all that isn't known; or if an
// earlier promise of the same node, which a restarted process keeps as well, was still running when it came.
void CancellationDisclosure::extend_cover(Peer& p, const wire::Disclosure& d, Instant echoed, bool ready,
                                          Instant now) {
  bool lists_all = ready && d.ready && d.complete;
  if (!lists_all && now > p.covered_until) return;
  auto promise = std::chrono::duration_cast<Duration>(d.promise * (1 - kDriftMargin));
  p.covered_until = std::max(p.covered_until, echoed + promise);
}

// An earlier version promises nothing: all that it had disclosed when it sent this is known if it's within
// what was read here, and what it may have disclosed since isn't.
void CancellationDisclosure::cover_without_promise(Peer& p, const wire::Heartbeat& h, Instant echoed,
                                                   const Known& known) {
  bool all_read = known.ready && h.told <= known.read_until;
  p.covered_until = all_read ? echoed : std::min(p.covered_until, echoed);
}

bool CancellationDisclosure::may_disclose(const wire::CancelledJob& job, const Known& known,
                                          Instant now) const {
  if (!known.ready) return false;
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return has(entry.second, job) || now > entry.second.promised_until;
  });
}

bool CancellationDisclosure::lacks_some(const NodeName& peer, const Known& known) const {
  const auto& p = peers_.at(peer);
  if (!known.ready || !p.ready) return false;
  return std::any_of(first_after(known.cancelled, p.read_until), known.cancelled.end(),
                     [&](const auto& job) { return !p.acknowledged.contains(job); });
}

Instant CancellationDisclosure::known_until(bool ready, Instant now) const {
  // While the view is loaded anew it lacks what had been acknowledged.
  if (!ready) return {};
  auto until = now;
  for (const auto& [name, p] : peers_) until = std::min(until, p.covered_until);
  return until;
}

std::optional<Instant> CancellationDisclosure::oldest_sent(const NodeName& peer) const {
  const auto& sent = peers_.at(peer).sent;
  if (sent.empty()) return std::nullopt;
  return sent.front().at;
}

}  // namespace beaconsill::part
