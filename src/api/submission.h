// The endpoint with which users submit jobs.
#pragma once

#include "api/admission.h"
#include "api/context.h"
#include "api/job_status.h"
#include "state_store/value_sizes.h"

namespace beaconsill::api {

// Submissions are idempotent: a repeated one gets the state of the job that was accepted before.
class Submission {
 public:
  Submission(const Context& context, const JobStatus& status) : context_(context), status_(status) {}

  // Responds to a request to run the job that is described in the body of `request`.
  void handle(const net::Request& request, const net::HttpServer::Reply& reply) const;

 private:
  using Reply = net::HttpServer::Reply;

  // Responds to a repeated submission of a job that is already in the view, with this state.
  void handle_existing(const JobId& id, protocol::JobState state, const Reply& reply) const;
  // Refuses a job that admission control did not accept. If another controller has accepted it before,
  // responds with its state instead.
  void refuse_after_sync(const JobId& id, const AdmissionResult& refusal, const Reply& reply) const;
  // Brings the view up to date because it lacks a dependency of the job, then accepts the job if all
  // dependencies exist.
  void accept_after_sync(const protocol::JobSpec& spec, const Reply& reply) const;
  // Stores a job that passed admission control.
  void accept(protocol::JobSpec spec, const Reply& reply) const;
  // Writes the keys of the job's dependencies that are not stored yet, then the job's record.
  void write_job(const state_store::JobValues& values, const Reply& reply) const;
  void write_record(const state_store::JobValues& values, const Reply& reply) const;
  void on_record_result(const protocol::Txn& txn, const JobId& id, const Reply& reply,
                        const state_store::TxnResult& result) const;
  // Responds to the submission of a job whose record was just written.
  void reply_accepted(const JobId& id, const Reply& reply) const;
  // Responds with the state of a job that may be stored already. `synced` tells whether the state store could
  // be read.
  void reply_existing(const JobId& id, bool synced, const Reply& reply) const;
  // Returns the first dependency of the job that is not in the view, or nullptr if all are.
  const JobId* first_unknown_dependency(const protocol::JobSpec& spec) const;

  const Context& context_;
  const JobStatus& status_;
};

}  // namespace beaconsill::api
