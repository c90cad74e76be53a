// The leader's duty: carries out the commands of the leader's state machine.
#pragma once

#include <memory>
#include <set>

#include "lead/capacity.h"
#include "lead/lead.h"
#include "node/context.h"
#include "node/peers.h"
#include "node/workers.h"
#include "store/txn_draft.h"

namespace beaconsill::node {

// Owns the state machines of the leader (lead::Lead, lead::Capacity) while this node leads, and the timers
// that drive them; the context, the peers and the workers' duty belong to the node. Requests that fail are
// logged and repeated at the next tick; nothing is thrown.
class LeaderDuty {
 public:
  LeaderDuty(Context& ctx, PeersDuty& peers, WorkersDuty& workers);
  void start();
  void stop();

  // This node has become the leader under `term`, or is no longer.
  void lead(Term term);
  void unlead();
  bool leading() const { return lead_ != nullptr; }

  void on_view(const store::View::Touched& t);
  void on_answer(const wire::Answer& a);
  void on_outcomes(const wire::Outcomes& o);
  void on_summary(const wire::Summary& s);
  void on_catalogue();
  // Runs a round as soon as the event loop is free.
  void kick();

 private:
  // The ledger is whole only once everything was read that earlier leaders wrote.
  void read_all();
  void go_through(const std::set<JobId>& jobs);
  void show(const JobId& id);
  void pump();
  void rounds();
  void begin_round();
  void drop_oversized(std::vector<lead::Lead::Grant>& grants) const;
  void fit_transaction(std::vector<lead::Lead::Grant>& grants) const;
  wire::Txn grants_txn(const std::vector<lead::Lead::Grant>& grants, const wire::Condition& leader) const;
  void write_grants(const std::vector<lead::Lead::Grant>& grants, const wire::Condition& leader,
                    store::Urgency urgency);
  void write_ends();
  // Jobs cancelled through others get an end of their own, so that their records can be dropped in time.
  void write_cancelled();
  // Records which controllers have shown that they know this version's records.
  void write_versions();
  void write_ends(const std::vector<JobId>& ids, store::End end, store::Urgency urgency);
  void tidy();
  bool drop_job(const JobId& id, store::TxnDraft& draft);
  bool drop_awaits(const JobId& id, const store::View::AwaitsKeys& keys, store::TxnDraft& draft);
  void rent();
  void capacity();
  void list_machines();
  std::map<PartId, Term> terms() const;
  // Jobs that one transaction can be about.
  std::size_t changes_at_once() const;
  // The leader's transactions hold only while it's the leader.
  std::optional<wire::Condition> still_leader() const;

  Context& ctx_;
  PeersDuty& peers_;
  WorkersDuty& workers_;
  Repeater tick_, capacity_tick_, list_tick_, tidy_tick_;
  Alarm soon_;
  Term term_;
  std::unique_ptr<lead::Lead> lead_;
  std::unique_ptr<lead::Capacity> capacity_;
  std::set<JobId> ending_, tidying_;
  Instant ends_again_{};
  Instant list_next_{};  // when the machines may be listed again
  bool listing_ = false;
  std::map<PartId, wire::Summary> summaries_;  // also while another leads
  bool writing_versions_ = false;
  bool read_ = false;
  bool reading_ = false;
  bool stopped_ = false;
};

}  // namespace beaconsill::node
