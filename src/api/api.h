// The users' endpoints.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "api/admission.h"
#include "net/http_server.h"
#include "store/access.h"

namespace beaconsill::api {

class Api {
 public:
  struct Hooks {
    std::function<const wire::Catalogue*()> catalogue;
    // A change that others should look at soon.
    std::function<void(Revision)> changed;
    // A user was told of a cancellation that stands at this revision.
    std::function<void(Revision)> told;
    std::function<std::uint32_t(const JobId&)> running;
    std::function<bool()> healthy;
  };
  Api(const Clock& clock, const config::Settings& settings, std::shared_ptr<store::TxnSink> store,
      std::shared_ptr<store::ViewSource> mirror, Hooks hooks);

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
  net::Response known(const JobId& id, wire::JobState s) const;
  bool overloaded() const;

  const Clock& clock_;
  const config::Settings& settings_;
  std::shared_ptr<store::TxnSink> store_;
  std::shared_ptr<store::ViewSource> mirror_;
  Hooks hooks_;
};

}  // namespace beaconsill::api
