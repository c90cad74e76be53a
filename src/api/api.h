// The users' endpoints.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "api/admission.h"
#include "net/http_server.h"
#include "store/mirror.h"

namespace beaconsill::api {

class Api {
 public:
  struct Hooks {
    std::function<const wire::Catalogue*()> catalogue;
    // A change that others should look at soon.
    std::function<void(Revision)> changed;
    // Whether a user may be told now that the job, which is known to be cancelled, is. The answer follows in
    // the same callback.
    std::function<bool(const JobId&)> disclose;
    std::function<std::uint32_t(const JobId&)> running;
    std::function<bool()> healthy;
  };
  Api(const Clock& clock, const config::Settings& settings, std::shared_ptr<store::StoreClient> store,
      std::shared_ptr<store::Mirror> mirror, Hooks hooks);

  // Whether the path is one of the users'.
  static bool is_user_path(const std::string& path);
  void handle(const net::Request& r, net::HttpServer::Reply reply);

 private:
  void submit(const net::Request& r, net::HttpServer::Reply reply);
  void status(const JobId& id, net::HttpServer::Reply reply);
  void cancel(const JobId& id, net::HttpServer::Reply reply);
  void do_cancel(const JobId& id, net::HttpServer::Reply reply);
  // The job's state as the view has it; none if it isn't known.
  std::optional<wire::JobState> state(const JobId& id) const;
  // What users are told of a job in this state. All answers that name a state come from these two.
  net::Response known(const JobId& id, wire::JobState s) const;
  net::Response accepted(const JobId& id, wire::JobState s) const;
  // A cancellation that another controller may not know of yet isn't told to anybody.
  bool withheld(const JobId& id, wire::JobState s) const;
  // Calls back once the view holds all that was written before; false, at once if need be: it could not be
  // read.
  void read(std::function<void(bool)> done);
  bool overloaded() const;

  const Clock& clock_;
  const config::Settings& settings_;
  std::shared_ptr<store::StoreClient> store_;
  std::shared_ptr<store::Mirror> mirror_;
  Hooks hooks_;
};

}  // namespace beaconsill::api
