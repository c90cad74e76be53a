// One controller: the pure state machines of `part` and `lead`, the view of `store` and the users' endpoints
// of `api`, wired to stand-ins as `node` wires them to sockets. What it knows lasts for one life of its
// process.
#pragma once

#include <memory>

#include "api/api.h"
#include "lead/lead.h"
#include "part/part.h"
#include "sim/environment.h"
#include "sim/heartbeats.h"
#include "sim/mirror.h"

namespace beaconsill::sim {

class Controller {
 public:
  Controller(int number, Environment& env) : n_(number), env_(env), clock_(env.queue) {}

  // A new process begins.
  void start();
  // The process ends, and another one begins some seconds later.
  void crash(double back_s);

  // Whether the state service was read since the process began.
  bool ready() const { return p_.mirror && p_.mirror->ready(); }
  const store::View& view() const { return p_.mirror->view(); }
  bool leads() const { return p_.lead != nullptr; }
  // The parts that this process owns, none of which it knows to have lost.
  std::vector<wire::PartTerm> owned() const;
  // Null unless it owns the part.
  const part::Part* part(PartId id) const;

  // ---- What comes in
  void on_user(const net::Request& r, net::HttpServer::Reply reply);
  void on_report(const wire::Report& r, const Workers::Reply& reply);

 private:
  struct Owned {
    std::unique_ptr<part::Part> part;
    bool read = false;
    bool reading = false;
    bool writing = false;
    bool registering = false;
    double tell_all = 0;
    Term told;  // leader's
    std::map<JobId, double> unwritten;
  };
  struct RoleState {
    std::optional<Term> held;  // by this process
    bool claiming = false;
    std::optional<double> vacant_since;
    std::optional<double> home_since;  // away from its home, which is alive
  };
  struct Relayed {
    PartId part;
    Workers::Reply reply;
  };
  struct Process {
    std::shared_ptr<Mirror> mirror;
    std::shared_ptr<EndpointView> endpoint_view;
    std::unique_ptr<api::Api> api;
    std::unique_ptr<Heartbeats> heartbeats;
    double ticked = 0;
    std::map<PartId, Owned> parts;
    std::map<std::string, RoleState> roles;
    std::unique_ptr<lead::Lead> lead;
    Term lead_term;
    bool lead_read = false;
    std::set<JobId> ending;
    std::map<PartId, wire::Summary> summaries;
    std::map<std::uint64_t, Relayed> relayed;
    std::uint64_t next_relay = 0;
  };

  double now() const { return env_.queue.now(); }
  Instant instant() const { return env_.queue.instant(); }
  bool mistake(Mistake m) const { return env_.options.mistake == m; }
  NodeName name() const { return node_name(n_); }
  void every(double period, void (Controller::*work)());
  // Runs at the other controller when the message arrives there.
  void send(int to, std::function<void(Controller&)> f);
  void broadcast(const std::function<void(Controller&)>& f);

  void tick();
  void renew_hold();
  void on_view(const store::View::Touched& t);

  // Other controllers (controller_peers.cpp)
  void send_heartbeats();
  wire::Heartbeat heartbeat(int to);
  void on_heartbeat(int from, const wire::Heartbeat& h);
  // All cancellations disclosed by any controller before this time are known here.
  Instant cancellations_known_until() const;
  Heartbeats::Known known() const;
  void send_heartbeat(int to);
  void share_cancellations(const store::View::Touched& t);
  bool disclose(const JobId& id) const;
  void send_summaries();
  void on_summary(const wire::Summary& s);
  std::optional<int> owner_of(PartId id) const;
  void relay(PartId id, const wire::Report& r, const Workers::Reply& reply);
  void on_relay(int from, std::uint64_t id, const wire::Report& r);
  void on_relayed(std::uint64_t id, const ReportReply& r);

  // Roles (controller_roles.cpp)
  void roles();
  void role(const std::string& key, const store::Versioned<store::Role>& r, std::optional<PartId> part);
  void lose(RoleState& s, std::optional<PartId> part);
  void keep_or_hand_back(RoleState& s, const std::string& key, const store::Versioned<store::Role>& r,
                         PartId part);
  int rank(std::optional<PartId> part) const;
  void claim(const std::string& key, const store::Versioned<store::Role>& r, std::optional<PartId> part);
  void hand_back(const std::string& key, const store::Versioned<store::Role>& r, PartId part);
  std::map<PartId, Term> terms() const;

  // Parts (controller_parts.cpp)
  void own(PartId id, Term term);
  Owned* find(PartId id, Term term);
  void show(part::Part& part, const JobId& job);
  void load_registry(PartId id);
  void tick_parts();
  void tick_part(PartId id);
  void read_registry(PartId id, Owned& o);
  void tell_leader(PartId id, Owned& o);
  void write(PartId id, Term term, const wire::Txn& t, bool Owned::*flag);
  void write_registry(PartId id, Owned& o);
  void write_progress(PartId id, Owned& o);
  ReportReply answer(Owned& o, PartId id, const wire::Report& r);
  void command(PartId id, Term term, const part::Part::Batch& b);
  void remove(PartId id, Term term, const MachineName& m);
  void on_deleted(const MachineName& m);
  void on_ask(int leader, const wire::Ask& ask);
  std::uint32_t running(const JobId& id) const;

  // Leader (controller_lead.cpp)
  void lead(Term term);
  void read_ledger();
  void tick_lead();
  void write_grants(const std::vector<lead::Lead::Grant>& grants);
  void write_ends();
  void write_end(const JobId& id, const store::Ending& ending);
  void tidy();
  void show_leader(const std::set<JobId>& jobs);
  void on_outcomes(const wire::Outcomes& o);
  void on_answer(const wire::Answer& a);

  int n_;
  Environment& env_;
  ServiceClock clock_;
  // Never run: deadlines of answers are real time, and nothing here waits for that.
  asio::io_context io_;
  Process p_;
};

}  // namespace beaconsill::sim
