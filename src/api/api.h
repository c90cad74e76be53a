// The users' endpoints.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "api/admission.h"
#include "api/reply_deadline.h"
#include "net/http_server.h"
#include "state_store/access.h"
#include "state_store/sizes.h"
#include "state_store/txn_draft.h"

namespace beaconsill::api {

class Api {
 public:
  struct Hooks {
    std::function<const protocol::Catalogue*()> catalogue;
    // A change that others should look at soon.
    std::function<void(Revision)> changed;
    // Whether a user may be told now that the job, which is known to be cancelled, is. The answer follows in
    // the same callback.
    std::function<bool(const JobId&)> may_acknowledge_cancellation;
    std::function<std::uint32_t(const JobId&)> running;
    std::function<bool()> healthy;
    // Whether all controllers know records of this version.
    std::function<bool(std::uint32_t version)> all_support;
  };
  Api(asio::io_context& io, const Clock& clock, const config::Settings& settings,
      std::shared_ptr<state_store::TxnExecutor> store, std::shared_ptr<state_store::StateReader> watch_cache,
      Hooks hooks);

  // Whether the path is one of the users'.
  static bool is_user_path(const std::string& path);
  void handle(const net::Request& r, net::HttpServer::Reply reply);

 private:
  void submit(const net::Request& r, const net::HttpServer::Reply& reply);
  // Writes the job's record; the job was found fit to run.
  void accept(protocol::JobSpec spec, const net::HttpServer::Reply& reply);
  // Writes the keys that aren't there yet of those with the jobs that it awaits, then its record.
  void write_job(const state_store::JobValues& values, const net::HttpServer::Reply& reply);
  void write_record(const state_store::JobValues& values, const net::HttpServer::Reply& reply);
  // Answers for a job that has just been accepted.
  void reply_accepted(const JobId& id, const net::HttpServer::Reply& reply);
  void reply_known(const JobId& id, bool fresh, const net::HttpServer::Reply& reply) const;
  // The first job that it awaits and that isn't in the view.
  const JobId* first_unknown_dependency(const protocol::JobSpec& spec) const;
  void status(const JobId& id, const net::HttpServer::Reply& reply);
  void cancel(const JobId& id, const net::HttpServer::Reply& reply);
  void do_cancel(const JobId& id, const net::HttpServer::Reply& reply);
  // The job's state as the view has it; none if it isn't known.
  std::optional<protocol::JobState> state(const JobId& id) const;
  // What users are told of a job in this state. All answers that name a state come from these two.
  net::Response known(const JobId& id, protocol::JobState s) const;
  net::Response accepted(const JobId& id, protocol::JobState s) const;
  // A cancellation that another controller may not know of yet isn't told to anybody.
  bool acknowledgement_pending(const JobId& id, protocol::JobState s) const;
  bool overloaded() const;
  // Reads what all controllers have told users so far; refuses at once (false) while the state store is known
  // not to answer this controller.
  void read_now(std::function<void(bool)> done);

  const Clock& clock_;
  const config::Settings& settings_;
  std::shared_ptr<state_store::TxnExecutor> store_;
  std::shared_ptr<state_store::StateReader> watch_cache_;
  Hooks hooks_;
  ReplyDeadline deadline_;
};

}  // namespace beaconsill::api
