// The endpoint with which users cancel jobs.
#pragma once

#include "api/context.h"
#include "api/job_status.h"

namespace beaconsill::api {

// Reports success only once the cancellation is recorded in the state store and may be revealed to users (see
// JobStatus). Until then the response asks the user to repeat the request.
class Cancellation {
 public:
  Cancellation(const Context& context, const JobStatus& status) : context_(context), status_(status) {}

  // Responds to a request to cancel a job. Idempotent; a job that is already done stays done.
  void handle(const JobId& id, const net::HttpServer::Reply& reply) const;

 private:
  // Writes the terminal record of a job that is in the view and has no terminal state there.
  void write_terminal_record(const JobId& id, const net::HttpServer::Reply& reply) const;
  void on_result(const protocol::Txn& txn, const JobId& id, const net::HttpServer::Reply& reply,
                 const state_store::TxnResult& result) const;

  const Context& context_;
  const JobStatus& status_;
};

}  // namespace beaconsill::api
