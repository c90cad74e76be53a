// The owner's duty: answers the workers of this node's parts and carries out what their state machines wish.
#pragma once

#include <map>
#include <memory>

#include "net/http_server.h"
#include "node/context.h"
#include "node/peers.h"
#include "part/part.h"

namespace beaconsill::node {

class WorkersDuty {
 public:
  // `tell`: hands the leader what became of granted tasks.
  WorkersDuty(Context& ctx, PeersDuty& peers, std::function<void(wire::Outcomes)> tell);
  void start();
  void stop();

  void own(PartId part, Term term);
  void disown(PartId part);
  // Peers told of owners: those of a higher term end this node's acting, also when the state service can't.
  void on_terms(const std::vector<wire::PartTerm>& terms);
  std::vector<wire::PartTerm> owned() const;
  bool settled(PartId part) const;
  bool owns(PartId part) const { return parts_.contains(part); }

  void on_report(const net::Request& r, const net::HttpServer::Reply& reply);
  // Reports that workers brought to another controller, and what became of those brought here.
  void on_relay(const NodeName& from, const wire::Relay& r);
  void on_relayed(const wire::Relayed& r);
  void on_view(const store::View::Touched& t);
  void on_catalogue();
  void on_ask(const wire::Ask& a, const std::function<void(wire::Answer)>& answer);
  void on_gone(const std::vector<MachineName>& names);
  void on_release(const std::vector<MachineName>& names);
  // Carries out whatever is to be done, within a few milliseconds.
  void kick();
  std::vector<wire::Summary> summaries() const;
  std::uint32_t running(const JobId& id) const;

 private:
  struct Owned {
    std::unique_ptr<part::Part> part;
    bool writing = false;
    bool registering = false;
    bool read = false;  // the state service was read after the term was written
    bool reading = false;
    Instant write_next{};  // when progress is looked through again for what is to be written
    Instant tell_all{};
    Term told;                           // of the leader that was told everything
    std::map<JobId, Instant> unwritten;  // since when
  };
  struct Channel {
    std::string address;
    std::shared_ptr<net::HttpClient> client;
    std::size_t under_way = 0;
    Instant used{};
  };
  // The connection to a machine; makes room for it among those to others.
  Channel& channel(const MachineName& m, const std::string& address, const net::Tcp::endpoint& at);
  void tick();
  void pump();
  void send(PartId part, part::Part::Batch b);
  void tell_leader(PartId part, Owned& o);
  void write_progress(PartId part, Owned& o);
  void write_registry(PartId part, Owned& o);
  void remove_machines(PartId part, Owned& o);
  void read_registry(PartId part, Owned& o);
  void load_registry(PartId part, part::Part& p);
  // All cancellations that users were told of before this time are known here.
  Instant cancellations_known_until() const;
  std::optional<NodeName> owner_of(PartId part) const;
  void redirect(PartId part, const net::HttpServer::Reply& reply) const;
  // The owner's answer to a report, relayed or not.
  net::Response answer(Owned& o, PartId id, const wire::Report& r);
  void relay(PartId part, const std::string& report, const net::HttpServer::Reply& reply);
  // The part if it's still owned under this term.
  Owned* find(PartId part, Term term);

  Context& ctx_;
  PeersDuty& peers_;
  std::function<void(wire::Outcomes)> tell_;
  Repeater tick_;
  Alarm soon_;
  std::map<PartId, Owned> parts_;
  std::map<MachineName, Channel> channels_;
  std::size_t max_channels_;
  std::size_t max_relayed_;  // each holds the connection that it came by
  Instant woke_{};           // the last stand-still that the parts know of
  struct Pending {
    net::HttpServer::Reply reply;
    PartId part;
    Instant until;
  };
  std::map<std::uint64_t, Pending> relayed_;  // to their owners, not yet answered
  std::uint64_t next_relay_ = 1;
  bool stopped_ = false;
};

}  // namespace beaconsill::node
