// What the endpoints of the users share.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "config/settings.h"
#include "net/http_server.h"
#include "protocol/cloud.h"
#include "state_store/access.h"

namespace beaconsill::api {

// What the endpoints need of the controller.
struct Hooks {
  // Null while the machine types aren't known.
  std::function<const protocol::Catalogue*()> catalogue;
  // A change that others should read soon.
  std::function<void(Revision)> on_change;
  // Whether a user may see now that the job, which is known to be cancelled, is. The response follows in the
  // same callback.
  std::function<bool(const JobId&)> may_reveal_cancellation;
  // How many tasks of the job run.
  std::function<std::uint32_t(const JobId&)> running_tasks;
  // Whether this controller can serve users.
  std::function<bool()> is_healthy;
  // Whether all controllers support this format version of records.
  std::function<bool(std::uint32_t version)> all_controllers_support;
};

// The state store as the endpoints use it. Used on one thread.
struct Context {
  const Clock& clock;
  const config::Settings& settings;
  std::shared_ptr<state_store::TxnExecutor> store;
  std::shared_ptr<state_store::StateReader> reader;
  Hooks hooks;

  const state_store::StateView& view() const { return reader->view(); }
  // A change would wait too long for the state store's rate limits.
  bool overloaded() const;
  // Reads what all controllers have shown users so far; refuses at once (false) while the state store is
  // known not to respond to this controller.
  void read_now(std::function<void(bool)> done) const;
  // Sends a transaction for a user, or refuses it if that takes too long.
  void commit(const protocol::Txn& txn, std::function<void(state_store::TxnResult)> done) const;
};

// Why a request is refused for now.
constexpr std::string_view kUnreachable = "state service not reachable";
constexpr std::string_view kStarting = "starting";
constexpr std::string_view kStateUnknown = "state not known";
constexpr std::string_view kNoSuchJob = "no such job";

// Seconds after which a refused request is to be repeated.
constexpr int kRetrySoonS = 1;
constexpr int kRetryLaterS = 2;
constexpr int kRetryMuchLaterS = 5;

// The response to a request that is to be repeated later.
net::Response retry_later(std::string_view reason, int retry_after_s = kRetrySoonS);

}  // namespace beaconsill::api
