// HTTP client for the cloud's API: lists, rents and deletes machines within the cloud's rate limit.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "net/http_client.h"
#include "protocol/cloud.h"
#include "state_store/rate_limiter.h"

namespace beaconsill::cloud {

// Why a request to the cloud failed.
enum class CloudError {
  kOutcomeUnknown,  // no usable response in time: the request may have been executed, or may still be
  kNoCapacity,      // the cloud has no machine of this kind to rent at present
  kRejected,        // status 400: the request is invalid
};

// Owns the queue of requests and the connections. A request waits in the queue for a few seconds at most
// until the rate limit of `rps` requests per second allows it to be sent; it is not retried. Errors are not
// thrown: the callback receives a CloudError. Every callback is called exactly once, at the latest by stop().
// Used on one thread.
class CloudClient : public std::enable_shared_from_this<CloudClient> {
 public:
  using CatalogueResult = tl::expected<protocol::Catalogue, CloudError>;
  using ListResult = tl::expected<std::vector<protocol::ListedMachine>, CloudError>;
  using DeleteResult = tl::expected<void, CloudError>;
  using RentResult = tl::expected<std::vector<MachineName>, CloudError>;
  using CatalogueCallback = std::function<void(CatalogueResult)>;
  using ListCallback = std::function<void(ListResult)>;
  using DeleteCallback = std::function<void(DeleteResult)>;
  using RentCallback = std::function<void(RentResult)>;

  CloudClient(asio::io_context& io_context, const Clock& clock, const net::Tcp::endpoint& endpoint,
              double rps);

  void fetch_catalogue(CatalogueCallback done);
  // Fetches all pages of the list of machines.
  void list_machines(ListCallback done);
  // Deletes machines; success means that they are deleted. Deletions are sent before all other requests,
  // because tasks wait for them.
  void delete_machines(const std::vector<MachineName>& machines, DeleteCallback done);
  void rent_machines(const protocol::RentRequest& request, RentCallback done);
  void set_rate(double rps);
  void stop();

 private:
  struct QueuedRequest {
    std::string method, target, body;
    std::function<void(net::Result)> done;
    Instant deadline;
  };
  enum class QueuePosition { kFront, kBack };

  void enqueue(QueuePosition position, std::string method, std::string target, std::string body,
               std::function<void(net::Result)> done);
  // Sends queued requests as far as the rate limit allows, and fails those that waited too long.
  void send_queued();
  void send(QueuedRequest request);
  void wait_for_rate_limit(Instant now);
  // Returns the requests that waited too long; their callbacks are not called yet.
  std::vector<QueuedRequest> send_until_rate_limit();
  void fetch_page(const std::shared_ptr<std::vector<protocol::ListedMachine>>& machines,
                  const std::optional<MachineName>& after, ListCallback done);

  const Clock& clock_;
  std::shared_ptr<net::HttpClient> http_;
  state_store::RateLimiter rate_limiter_;
  std::deque<QueuedRequest> queue_;
  asio::steady_timer timer_;
  bool stopped_ = false;
};

}  // namespace beaconsill::cloud
