#include "protocol/peer.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>

#include "protocol/peer.capnp.h"

namespace beaconsill::protocol {
namespace {

template <class... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <class... F>
Overloaded(F...) -> Overloaded<F...>;

std::string text(capnp::Text::Reader t) {
  return {t.cStr(), t.size()};
}

void put_names(peer::Machines::Builder b, const std::vector<MachineName>& names) {
  auto list = b.initNames(names.size());
  for (std::size_t i = 0; i < names.size(); ++i) list.set(i, names[i].value());
}

std::vector<MachineName> get_names(peer::Machines::Reader r) {
  std::vector<MachineName> v;
  for (auto n : r.getNames()) v.emplace_back(text(n));
  return v;
}

void put_resource_request(peer::ResourceRequest::Builder b, const ResourceRequest& s) {
  b.setCpus(s.each.cpus);
  b.setGpus(s.each.gpus);
  b.setMemoryGb(s.each.memory_gb);
  b.setAnyType(!s.types);
  if (s.types) {
    auto list = b.initTypes(s.types->size());
    for (std::size_t i = 0; i < s.types->size(); ++i) list.set(i, (*s.types)[i].value());
  }
  if (s.zone) b.setZone(s.zone->value());
  b.setSpot(s.spot);
  b.setImage(s.image.value());
  b.setPriority(static_cast<std::uint8_t>(s.priority));
  b.setWanted(s.wanted);
}

ResourceRequest get_resource_request(peer::ResourceRequest::Reader r) {
  ResourceRequest s;
  s.each = {r.getCpus(), r.getGpus(), r.getMemoryGb()};
  if (!r.getAnyType()) {
    s.types.emplace();
    for (auto t : r.getTypes()) s.types->emplace_back(text(t));
  }
  if (r.getZone().size() > 0) s.zone = Zone(text(r.getZone()));
  s.spot = r.getSpot();
  s.image = ImageName(text(r.getImage()));
  s.priority = static_cast<Priority>(std::min<int>(r.getPriority(), static_cast<int>(Priority::kProduction)));
  s.wanted = r.getWanted();
  return s;
}

Ranges get_ranges(capnp::Text::Reader t) {
  auto r = Ranges::parse(text(t));
  KJ_REQUIRE(r.has_value(), "not a set of ranges");
  return std::move(*r);
}

void put_cancellation_sync(peer::CancellationSync::Builder b, const CancellationSync& d) {
  b.setReady(d.ready);
  b.setReadRevision(d.read_until.value());
  b.setPromiseMs(static_cast<std::uint32_t>(d.read_lease.count()));
  b.setComplete(d.complete);
  auto list = b.initCancelled(d.cancelled.size());
  for (std::size_t i = 0; i < d.cancelled.size(); ++i) {
    list[i].setJob(d.cancelled[i].job.value());
    list[i].setRevision(d.cancelled[i].revision.value());
    list[i].setDone(d.cancelled[i].done);
  }
}

CancellationSync get_cancellation_sync(peer::CancellationSync::Reader r) {
  CancellationSync d;
  d.ready = r.getReady();
  d.read_until = Revision(r.getReadRevision());
  d.read_lease = std::chrono::milliseconds(r.getPromiseMs());
  d.complete = r.getComplete();
  for (auto c : r.getCancelled())
    d.cancelled.push_back({Revision(c.getRevision()), JobId(text(c.getJob())), c.getDone()});
  return d;
}

peer::JobHealth put_verdict(JobHealth v) {
  switch (v) {
    case JobHealth::kFails:
      return peer::JobHealth::FAILS;
    case JobHealth::kWorks:
      return peer::JobHealth::WORKS;
    case JobHealth::kNone:
      break;
  }
  return peer::JobHealth::NONE;
}

// One that a later version may have says nothing here.
JobHealth get_verdict(peer::JobHealth v) {
  if (v == peer::JobHealth::FAILS) return JobHealth::kFails;
  return v == peer::JobHealth::WORKS ? JobHealth::kWorks : JobHealth::kNone;
}

PeerPayload get_body(peer::Message::Reader m) {
  switch (m.which()) {
    case peer::Message::HEARTBEAT: {
      auto r = m.getHeartbeat();
      Heartbeat h{Revision(r.getToldRevision()), {}, r.getSequence(), r.getEcho(), r.getStateOk(), {}};
      if (r.hasDisclosure()) h.cancellation_sync = get_cancellation_sync(r.getDisclosure());
      for (auto t : r.getTerms()) h.terms.push_back({ShardId(t.getPart()), Term(t.getTerm())});
      return h;
    }
    case peer::Message::NUDGE:
      return ChangeNotification{Revision(m.getNudge().getRevision())};
    case peer::Message::ASK: {
      EstimateRequest a;
      a.round = m.getAsk().getRound();
      for (auto s : m.getAsk().getShapes()) a.resource_requests.push_back(get_resource_request(s));
      return a;
    }
    case peer::Message::ANSWER: {
      auto r = m.getAnswer();
      EstimateResponse a{
          r.getRound(), ShardId(r.getPart()), Term(r.getTerm()), Revision(r.getSeenRevision()), {}};
      for (auto s : r.getRooms()) {
        CapacityByZone room;
        for (auto z : s.getZones())
          room.push_back({Zone(text(z.getZone())), z.getFree(), z.getWarm(), z.getPreemptible(),
                          z.getWarmPreemptible()});
        a.rooms.push_back(std::move(room));
      }
      return a;
    }
    case peer::Message::SUMMARY: {
      auto r = m.getSummary();
      Summary s{ShardId(r.getPart()), Term(r.getTerm()), Revision(r.getSeenRevision()), {}, {}};
      for (auto e : r.getMachines())
        s.machines.push_back({MachineName(text(e.getName())),
                              MachineType(text(e.getType())),
                              Zone(text(e.getZone())),
                              e.getSpot(),
                              {e.getCpus(), e.getGpus(), e.getMemoryGb()},
                              e.getIdleS(),
                              e.getUsable()});
      for (auto c : r.getRunning()) s.running.push_back({JobId(text(c.getJob())), c.getRunning()});
      s.page = r.getPage();
      s.more = r.getMore();
      return s;
    }
    case peer::Message::RELEASE:
      return ReleaseMachines{get_names(m.getRelease())};
    case peer::Message::RELAY:
      return RelayedHeartbeat{m.getRelay().getId(), text(m.getRelay().getReport())};
    case peer::Message::RELAYED: {
      auto r = m.getRelayed();
      return RelayedReply{r.getId(), r.getStatus(), text(r.getBody())};
    }
    case peer::Message::GONE:
      return TerminatedMachines{get_names(m.getGone())};
    case peer::Message::OUTCOMES: {
      auto r = m.getOutcomes();
      ProgressReport o{ShardId(r.getPart()), Term(r.getTerm()), {}};
      for (auto j : r.getJobs()) {
        JobProgress x{JobId(text(j.getJob())), get_ranges(j.getDone()), {}, get_verdict(j.getVerdict())};
        for (auto b : j.getReturned())
          x.released.push_back({Generation(b.getGeneration()), get_ranges(b.getTasks())});
        o.jobs.push_back(std::move(x));
      }
      return o;
    }
  }
  KJ_FAIL_REQUIRE("unknown kind of message");
}

void put_body(peer::Message::Builder m, const PeerPayload& body) {
  std::visit(Overloaded{
                 [&](const Heartbeat& h) {
                   auto b = m.initHeartbeat();
                   b.setToldRevision(h.acknowledged_until.value());
                   b.setSequence(h.sequence);
                   b.setEcho(h.echo);
                   b.setStateOk(h.state_ok);
                   if (h.cancellation_sync) put_cancellation_sync(b.initDisclosure(), *h.cancellation_sync);
                   auto list = b.initTerms(h.terms.size());
                   for (std::size_t i = 0; i < h.terms.size(); ++i) {
                     list[i].setPart(h.terms[i].shard.value());
                     list[i].setTerm(h.terms[i].term.value());
                   }
                 },
                 [&](const ChangeNotification& n) { m.initNudge().setRevision(n.revision.value()); },
                 [&](const EstimateRequest& a) {
                   auto b = m.initAsk();
                   b.setRound(a.round);
                   auto list = b.initShapes(a.resource_requests.size());
                   for (std::size_t i = 0; i < a.resource_requests.size(); ++i)
                     put_resource_request(list[i], a.resource_requests[i]);
                 },
                 [&](const EstimateResponse& a) {
                   auto b = m.initAnswer();
                   b.setRound(a.round);
                   b.setPart(a.shard.value());
                   b.setTerm(a.term.value());
                   b.setSeenRevision(a.seen.value());
                   auto rooms = b.initRooms(a.rooms.size());
                   for (std::size_t i = 0; i < a.rooms.size(); ++i) {
                     auto zones = rooms[i].initZones(a.rooms[i].size());
                     for (std::size_t k = 0; k < a.rooms[i].size(); ++k) {
                       zones[k].setZone(a.rooms[i][k].zone.value());
                       zones[k].setFree(a.rooms[i][k].free);
                       zones[k].setWarm(a.rooms[i][k].warm);
                       zones[k].setPreemptible(a.rooms[i][k].preemptible);
                       zones[k].setWarmPreemptible(a.rooms[i][k].warm_preemptible);
                     }
                   }
                 },
                 [&](const Summary& s) {
                   auto b = m.initSummary();
                   b.setPart(s.shard.value());
                   b.setTerm(s.term.value());
                   b.setSeenRevision(s.seen.value());
                   b.setPage(s.page);
                   b.setMore(s.more);
                   auto ms = b.initMachines(s.machines.size());
                   for (std::size_t i = 0; i < s.machines.size(); ++i) {
                     const auto& x = s.machines[i];
                     ms[i].setName(x.name.value());
                     ms[i].setType(x.type.value());
                     ms[i].setZone(x.zone.value());
                     ms[i].setSpot(x.spot);
                     ms[i].setCpus(x.free.cpus);
                     ms[i].setGpus(x.free.gpus);
                     ms[i].setMemoryGb(x.free.memory_gb);
                     ms[i].setIdleS(x.idle_s);
                     ms[i].setUsable(x.usable);
                   }
                   auto rs = b.initRunning(s.running.size());
                   for (std::size_t i = 0; i < s.running.size(); ++i) {
                     rs[i].setJob(s.running[i].job.value());
                     rs[i].setRunning(s.running[i].running);
                   }
                 },
                 [&](const ReleaseMachines& r) { put_names(m.initRelease(), r.machines); },
                 [&](const RelayedHeartbeat& r) {
                   auto b = m.initRelay();
                   b.setId(r.id);
                   b.setReport(r.heartbeat);
                 },
                 [&](const RelayedReply& r) {
                   auto b = m.initRelayed();
                   b.setId(r.id);
                   b.setStatus(static_cast<std::uint16_t>(r.status));
                   b.setBody(r.body);
                 },
                 [&](const TerminatedMachines& g) { put_names(m.initGone(), g.machines); },
                 [&](const ProgressReport& o) {
                   auto b = m.initOutcomes();
                   b.setPart(o.shard.value());
                   b.setTerm(o.term.value());
                   auto list = b.initJobs(o.jobs.size());
                   for (std::size_t i = 0; i < o.jobs.size(); ++i) {
                     const auto& x = o.jobs[i];
                     list[i].setJob(x.job.value());
                     list[i].setDone(x.done.str());
                     list[i].setVerdict(put_verdict(x.verdict));
                     auto back = list[i].initReturned(x.released.size());
                     for (std::size_t k = 0; k < x.released.size(); ++k) {
                       back[k].setGeneration(x.released[k].generation.value());
                       back[k].setTasks(x.released[k].tasks.str());
                     }
                   }
                 },
             },
             body);
}

}  // namespace

std::string encode_peer(const PeerMessage& m) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<peer::Message>();
  root.setFrom(m.from.value());
  put_body(root, m.body);
  auto words = capnp::messageToFlatArray(builder);
  auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

std::optional<PeerMessage> decode_peer(std::string_view bytes) {
  if (bytes.size() % sizeof(capnp::word) != 0) return std::nullopt;
  auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes.data(), bytes.size());
  try {
    capnp::FlatArrayMessageReader reader(words);
    auto root = reader.getRoot<peer::Message>();
    return PeerMessage{ControllerName(text(root.getFrom())), get_body(root)};
  } catch (const kj::Exception&) {
    return std::nullopt;
  }
}

}  // namespace beaconsill::protocol
