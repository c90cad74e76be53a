#include "api/api.h"

#include <utility>

#include "net/http_status.h"

namespace beaconsill::api {
namespace {

constexpr std::string_view kHealthPath = "/up";
constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kCancelSuffix = "/withdraw";
// Every request gets a response within this time of its arrival, even if the state store is slow or
// unreachable.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(750);
constexpr std::string_view kTimedOut = "the state store did not respond within 750 ms";

net::Response method_not_allowed() {
  return {net::status::kMethodNotAllowed, "{}"};
}

}  // namespace

Api::Api(asio::io_context& io_context, const Clock& clock, const config::Settings& settings,
         std::shared_ptr<state_store::TxnExecutor> store,
         std::shared_ptr<state_store::StateReader> watch_cache, Hooks hooks)
    : context_{clock, settings, std::move(store), std::move(watch_cache), std::move(hooks)},
      status_(context_),
      submission_(context_, status_),
      cancellation_(context_, status_),
      deadline_(io_context, kResponseTimeout, retry_later(kTimedOut)) {}

bool Api::is_user_path(const std::string& path) {
  return path.starts_with(kJobsPath);
}

void Api::handle(const net::Request& request, net::HttpServer::Reply reply) {
  if (request.path == kHealthPath) return handle_health(request, reply);
  reply = deadline_.with_deadline(std::move(reply));
  const std::string_view path = request.path;
  if (path == kJobsPath) {
    if (request.method != "POST") return reply(method_not_allowed());
    return submission_.handle(request, reply);
  }
  if (!path.starts_with(std::string(kJobsPath) + '/')) return reply({net::status::kNotFound, "{}"});
  handle_job(request, path.substr(kJobsPath.size() + 1), reply);
}

void Api::handle_health(const net::Request& request, const net::HttpServer::Reply& reply) const {
  if (request.method != "GET") return reply(method_not_allowed());
  reply(context_.hooks.is_healthy() ? net::Response{net::status::kOk, "{}"}
                                    : retry_later("the controller is not ready to serve users"));
}

void Api::handle_job(const net::Request& request, std::string_view job_path,
                     const net::HttpServer::Reply& reply) const {
  const bool is_cancellation = job_path.ends_with(kCancelSuffix);
  if (is_cancellation) job_path.remove_suffix(kCancelSuffix.size());
  // A job with an invalid id was never accepted, so it does not exist.
  if (!protocol::valid_job_id(job_path))
    return reply({net::status::kNotFound, protocol::render_error(kNoSuchJob)});
  const JobId id{std::string(job_path)};
  if (is_cancellation) {
    if (request.method != "POST") return reply(method_not_allowed());
    return cancellation_.handle(id, reply);
  }
  if (request.method != "GET") return reply(method_not_allowed());
  status_.handle(id, reply);
}

}  // namespace beaconsill::api
