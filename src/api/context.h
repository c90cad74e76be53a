// State and helpers that the HTTP endpoints for users share: access to the state store, callbacks into the
// controller, and responses that ask the user to repeat a request.
#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "config/settings.h"
#include "net/http_server.h"
#include "protocol/cloud.h"
#include "state_store/access.h"

namespace beaconsill::api {

// Callbacks into the controller.
struct Hooks {
  // Returns the machine types of the cloud, or nullptr while they are not known.
  std::function<const protocol::Catalogue*()> catalogue;
  // Called with the revision of each change that was committed, so that other controllers read it soon.
  std::function<void(Revision)> on_commit;
  // Returns whether a response may report to a user that the job is cancelled. The job must be cancelled in
  // the view. If the result is true, the caller must respond within the same event-loop callback.
  std::function<bool(const JobId&)> may_reveal_cancellation;
  // Returns the number of tasks of the job that are running.
  std::function<std::uint32_t(const JobId&)> running_tasks;
  // Returns whether this controller can serve users.
  std::function<bool()> is_healthy;
  // Returns whether all controllers support this format version of the records in the state store.
  std::function<bool(std::uint32_t version)> all_controllers_support;
};

// What every endpoint uses: clock, settings, the state store and the callbacks. Used on one thread.
struct Context {
  const Clock& clock;
  const config::Settings& settings;
  std::shared_ptr<state_store::TxnExecutor> store;
  std::shared_ptr<state_store::StateReader> reader;
  Hooks hooks;

  const state_store::StateView& view() const { return reader->view(); }
  // Returns whether a write would have to wait too long for the state store's rate limits.
  bool overloaded() const;
  // Brings the view up to date with everything written before this call, which includes everything that any
  // controller has revealed to users so far, then calls `done` with true. Calls `done` with false if the
  // state store could not be read; it does so at once while the state store is known not to respond to this
  // controller.
  void sync_view(std::function<void(bool synced)> done) const;
  // Sends a transaction on behalf of a user. It fails if the rate limits allow it to be sent only too late.
  void commit(const protocol::Txn& txn, std::function<void(state_store::TxnResult)> done) const;
};

// Error messages of responses that several endpoints use.
constexpr std::string_view kStateStoreUnreachable = "the state store is not reachable";
constexpr std::string_view kControllerStarting = "the controller is starting";
constexpr std::string_view kOutcomeUnknown = "the outcome of the request is not known";
constexpr std::string_view kOverloaded = "too many requests for the rate limit of the state store";
constexpr std::string_view kNoSuchJob = "no such job";

// Seconds after which the user should repeat a request (the Retry-After header).
constexpr int kRetrySoonS = 1;
constexpr int kRetryLaterS = 2;
constexpr int kRetryMuchLaterS = 5;

// Returns a 503 response with the error message `reason`, which asks the user to repeat the request after
// `retry_after_s` seconds. Logs the reason.
net::Response retry_later(std::string_view reason, int retry_after_s = kRetrySoonS);

}  // namespace beaconsill::api
