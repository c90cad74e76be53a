// The leader's duty: carries out the commands of the leader's state machine.
#pragma once

#include <memory>
#include <set>

#include "controller/controller_context.h"
#include "controller/peer_service.h"
#include "controller/shard_service.h"
#include "scheduler/autoscaler.h"
#include "scheduler/scheduler.h"
#include "state_store/txn_draft.h"

namespace beaconsill::controller {

// Owns the state machines of the leader (lead::Lead, lead::Capacity) while this controller leads, and the
// timers that drive them; the context, the peers and the workers' duty belong to the controller. Requests
// that fail are logged and repeated at the next tick; nothing is thrown.
class SchedulerService {
 public:
  SchedulerService(ControllerContext& ctx, PeerService& peers, ShardService& workers);
  void start();
  void stop();

  // This controller has become the leader under `term`, or is no longer.
  void become_leader(Term term);
  void step_down();
  bool is_leader() const { return scheduler_ != nullptr; }

  void on_view(const state_store::StateView::ChangeSet& t);
  void on_estimate_response(const protocol::EstimateResponse& a);
  void on_progress_report(const protocol::ProgressReport& o);
  void on_summary(const protocol::Summary& s);
  void on_catalogue();
  // Runs a round as soon as the event loop is free.
  void schedule_run();

 private:
  // The ledger is whole only once everything was read that earlier leaders wrote.
  void read_ledger();
  void refresh_jobs(const std::set<JobId>& jobs);
  void publish(const JobId& id);
  void pump();
  void run_rounds();
  void begin_round();
  void drop_oversized(std::vector<scheduler::Scheduler::Grant>& grants) const;
  void fit_transaction(std::vector<scheduler::Scheduler::Grant>& grants) const;
  protocol::Txn grants_txn(const std::vector<scheduler::Scheduler::Grant>& grants,
                           const protocol::Condition& leader) const;
  void write_grants(const std::vector<scheduler::Scheduler::Grant>& grants, const protocol::Condition& leader,
                    state_store::Urgency urgency);
  void write_terminal_records();
  // Jobs cancelled through others get an end of their own, so that their records can be dropped in time.
  void write_cancelled_dependents();
  // Records which controllers have shown that they know this version's records.
  void write_versions();
  void write_terminal_records(const std::vector<JobId>& ids, state_store::TerminalState end,
                              state_store::Urgency urgency);
  void collect_garbage();
  bool delete_job_keys(const JobId& id, state_store::TxnDraft& draft);
  bool delete_dependency_keys(const JobId& id, const state_store::StateView::DependencyKeys& keys,
                              state_store::TxnDraft& draft);
  void rent();
  void autoscale();
  void list_machines();
  std::map<ShardId, Term> terms() const;
  // Jobs that one transaction can be about.
  std::size_t max_changes_per_txn() const;
  // The leader's transactions hold only while it's the leader.
  std::optional<protocol::Condition> still_leader() const;

  ControllerContext& ctx_;
  PeerService& peers_;
  ShardService& workers_;
  PeriodicTimer tick_, autoscale_tick_, list_tick_, garbage_tick_;
  OneShotTimer soon_;
  Term term_;
  std::unique_ptr<scheduler::Scheduler> scheduler_;
  std::unique_ptr<scheduler::Autoscaler> autoscaler_;
  std::set<JobId> completing_, collecting_;
  Instant terminal_retry_at_{};
  Instant list_next_{};  // when the machines may be listed again
  bool listing_ = false;
  std::map<ShardId, protocol::Summary> summaries_;  // also while another leads
  bool writing_versions_ = false;
  bool ledger_read_ = false;
  bool reading_ = false;
  bool stopped_ = false;
};

}  // namespace beaconsill::controller
