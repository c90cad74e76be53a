// The HTTP API for users: submits, cancels and reports the status of jobs, and answers health checks.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "api/cancellation.h"
#include "api/context.h"
#include "api/job_status.h"
#include "api/reply_deadline.h"
#include "api/submission.h"
#include "net/http_server.h"
#include "state_store/access.h"

namespace beaconsill::api {

// Routes requests to the endpoints. Every request for a job gets a response within a fixed time, even if the
// state store is slow or unreachable. Used only on the thread of the io_context. The Api must outlive
// all requests.
class Api {
 public:
  using Hooks = api::Hooks;
  // `io_context`, `clock` and `settings` must outlive this object.
  Api(asio::io_context& io_context, const Clock& clock, const config::Settings& settings,
      std::shared_ptr<state_store::TxnExecutor> store, std::shared_ptr<state_store::StateReader> watch_cache,
      Hooks hooks);
  Api(const Api&) = delete;
  Api& operator=(const Api&) = delete;
  ~Api() = default;

  // Returns whether the path belongs to the endpoints for jobs, as opposed to health checks and other
  // internal requests.
  static bool is_user_path(const std::string& path);
  // Responds to a request for a job or to a health check. `reply` is called exactly once.
  void handle(const net::Request& request, net::HttpServer::Reply reply);

 private:
  void handle_health(const net::Request& request, const net::HttpServer::Reply& reply) const;
  // `job_path` is the part of the path that follows "/v1/jobs/".
  void handle_job(const net::Request& request, std::string_view job_path,
                  const net::HttpServer::Reply& reply) const;

  Context context_;
  JobStatus status_;
  Submission submission_;
  Cancellation cancellation_;
  ReplyDeadline deadline_;
};

}  // namespace beaconsill::api
