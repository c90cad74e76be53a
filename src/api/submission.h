// Submission of jobs by their users.
#pragma once

#include "api/admission.h"
#include "api/context.h"
#include "api/job_status.h"
#include "state_store/value_sizes.h"

namespace beaconsill::api {

// Submissions are idempotent: a repeated one gets the state of the job that was accepted.
class Submission {
 public:
  Submission(const Context& context, const JobStatus& status) : context_(context), status_(status) {}

  // Responds to a request to run the job that `request` holds.
  void handle(const net::Request& request, const net::HttpServer::Reply& reply) const;

 private:
  using Reply = net::HttpServer::Reply;

  // Repeated: the job is known already.
  void handle_known(const JobId& id, protocol::JobState state, const Reply& reply) const;
  // A job that can't run as things stand here.
  void refuse(const JobId& id, const AdmissionResult& refusal, const Reply& reply) const;
  // A job with a dependency that isn't in the view.
  void accept_after_read(const protocol::JobSpec& spec, const Reply& reply) const;
  // Writes the job's record; the job was found fit to run.
  void accept(protocol::JobSpec spec, const Reply& reply) const;
  // Writes those keys of its dependencies that aren't there yet, then its record.
  void write_job(const state_store::JobValues& values, const Reply& reply) const;
  void write_record(const state_store::JobValues& values, const Reply& reply) const;
  void on_record_result(const protocol::Txn& txn, const JobId& id, const Reply& reply,
                        const state_store::TxnResult& result) const;
  // Responds for a job that has just been accepted.
  void reply_accepted(const JobId& id, const Reply& reply) const;
  void reply_known(const JobId& id, bool fresh, const Reply& reply) const;
  // The first of its dependencies that isn't in the view; null: all are.
  const JobId* first_unknown_dependency(const protocol::JobSpec& spec) const;

  const Context& context_;
  const JobStatus& status_;
};

}  // namespace beaconsill::api
