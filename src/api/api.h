// The endpoints of the users.
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

// Routes requests to the endpoints. Every request is responded to within a fixed time, whatever the state
// store does. Used on the thread of the io_context; it must outlive all requests.
class Api {
 public:
  using Hooks = api::Hooks;
  // The settings, the clock and the event loop have to outlive it.
  Api(asio::io_context& io_context, const Clock& clock, const config::Settings& settings,
      std::shared_ptr<state_store::TxnExecutor> store, std::shared_ptr<state_store::StateReader> watch_cache,
      Hooks hooks);
  Api(const Api&) = delete;
  Api& operator=(const Api&) = delete;
  ~Api() = default;

  // Whether the path is one of the users'.
  static bool is_user_path(const std::string& path);
  // Responds to a request by a user or a health check. `reply` is called once.
  void handle(const net::Request& request, net::HttpServer::Reply reply);

 private:
  void handle_health(const net::Request& request, const net::HttpServer::Reply& reply) const;
  // `path`: after that of all jobs.
  void handle_job(const net::Request& request, std::string_view path,
                  const net::HttpServer::Reply& reply) const;

  Context context_;
  JobStatus status_;
  Submission submission_;
  Cancellation cancellation_;
  ReplyDeadline deadline_;
};

}  // namespace beaconsill::api
