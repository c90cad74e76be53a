// Cancellation of jobs by their users.
#pragma once

#include "api/context.h"
#include "api/job_status.h"

namespace beaconsill::api {

// Responds once the cancellation is recorded and may be shown (JobStatus); until then the user has to repeat
// the request.
class Cancellation {
 public:
  Cancellation(const Context& context, const JobStatus& status) : context_(context), status_(status) {}

  // Responds to a request to cancel a job. Idempotent; a job that is done stays done.
  void handle(const JobId& id, const net::HttpServer::Reply& reply) const;

 private:
  // Writes the terminal record of a job that is known and has none.
  void write_terminal_record(const JobId& id, const net::HttpServer::Reply& reply) const;
  void on_result(const protocol::Txn& txn, const JobId& id, const net::HttpServer::Reply& reply,
                 const state_store::TxnResult& result) const;

  const Context& context_;
  const JobStatus& status_;
};

}  // namespace beaconsill::api
