// One controller: the pure state machines of `part` and `lead` and the view of `store`, wired to stand-ins as
// `node` wires them to sockets. What it knows lasts for one life of its process.
#pragma once

#include <memory>

#include "lead/lead.h"
#include "part/part.h"
#include "sim/environment.h"
#include "store/view.h"

namespace beaconsill::sim {

class Controller {
 public:
  Controller(int number, Environment& env) : n_(number), env_(env) {}

  // A new process begins.
  void start();
  // The process ends, and another one begins some seconds later.
  void crash(double back_s);

  // Whether the state service was read since the process began.
  bool ready() const { return p_.ready; }
  const store::View& view() const { return p_.view; }
  // Calls back once the view holds all that was written before this call; false: could not be read.
  void sync(std::function<void(bool)> done);
  // A transaction of this controller's own; it enters the view once it's carried out.
  void apply_own(const wire::Txn& t, Revision r);
  ReportReply on_report(const wire::Report& r);

  // ---- Users
  // Status of HTTP, and the job's state where the answer has one.
  using UserReply = std::function<void(int, std::optional<wire::JobState>)>;
  void submit(const wire::JobSpec& spec, UserReply reply);
  void status(const JobId& id, UserReply reply);
  void cancel(const JobId& id, UserReply reply);
  // Tasks of the job that run in this controller's parts.
  std::uint32_t running(const JobId& id) const;

 private:
  struct Owned {
    std::unique_ptr<part::Part> part;
    bool read = false;
    bool reading = false;
    bool writing = false;
    bool registering = false;
    double tell_all = 0;
    std::map<JobId, double> unwritten;
  };
  struct Process {
    store::View view;
    std::size_t known = 0;  // entries of the state service's log that were read
    double word = -100;     // all cancellations told before this time are known
    bool ready = false;
    bool syncing = false;
    std::vector<std::function<void(bool)>> waiting;
    std::map<PartId, Owned> parts;
    std::map<std::string, Term> held;
    std::map<std::string, double> vacant, away;
    std::set<std::string> claiming;
    std::unique_ptr<lead::Lead> lead;
    Term lead_term;
    bool lead_read = false;
    std::set<JobId> ending;
  };
  using Result = StateService::Result;

  double now() const { return env_.queue.now(); }
  Instant instant() const { return env_.queue.instant(); }
  bool mistake(Mistake m) const { return env_.options.mistake == m; }
  NodeName name() const { return Environment::name(n_); }

  void tick();
  void beat();
  void on_view();

  // Roles (controller_roles.cpp)
  void roles();
  void role(const std::string& key, store::Versioned<store::Role> r, std::optional<PartId> part);
  bool keep_role(const std::string& key, const store::Versioned<store::Role>& r, std::optional<PartId> part);
  void claim(const std::string& key, store::Versioned<store::Role> r, std::optional<PartId> part,
             NodeName to);
  std::map<PartId, Term> terms() const;

  // Parts (controller_parts.cpp)
  void own(PartId id, Term term);
  Owned* owned(PartId id, Term term);
  void show(part::Part& part, const JobId& job);
  void load_registry(PartId id);
  void tick_part(PartId id);
  void read_registry(PartId id, Owned& o);
  void tell_outcomes(PartId id, Owned& o);
  void write(PartId id, Term term, wire::Txn t, bool Owned::*flag);
  void write_registry(PartId id, Owned& o);
  void write_progress(PartId id, Owned& o);
  void send(PartId id, Term term, const part::Part::Batch& b);
  void remove(PartId id, Term term, const MachineName& m);
  void on_deleted(const MachineName& m);
  void on_ask(int leader, const wire::Ask& ask);

  // Leader (controller_lead.cpp)
  void lead(Term term);
  void read_ledger();
  void tick_lead();
  void write_grants(const std::vector<lead::Lead::Grant>& grants);
  void void_unanswered(const std::vector<lead::Lead::Grant>& grants, Revision role);
  bool conditional() const { return !mistake(Mistake::kNoRoleCondition); }
  void write_ends();
  void tidy();
  void on_outcomes(const wire::Outcomes& o);
  void on_answer(const wire::Answer& a);

  // Users (controller_api.cpp)
  std::optional<wire::JobState> state(const JobId& id) const;
  void answer_known(const JobId& id, bool fresh, const UserReply& reply);
  void write_cancellation(const JobId& id, UserReply reply);

  int n_;
  Environment& env_;
  Process p_;
};

}  // namespace beaconsill::sim
