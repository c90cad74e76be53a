// Client of the cloud's API, within its rate limit.
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

// Why a request to the cloud has no result.
enum class CloudError {
  kUnanswered,  // no well-formed answer in time: it may have been carried out, or may yet be
  kNoCapacity,  // the cloud has no such machine to rent now
  kRejected,    // 400: the request itself is wrong
};

// Owns the queue of requests and the connections. A request waits for its turn within `rps` (requests per
// second) for a few seconds, and isn't repeated. Errors aren't thrown: a callback gets a CloudError. Every
// callback is called once, at the latest by stop(). One thread.
class CloudClient : public std::enable_shared_from_this<CloudClient> {
 public:
  using CatalogueResult = tl::expected<protocol::Catalogue, CloudError>;
  using ListResult = tl::expected<std::vector<protocol::ListedMachine>, CloudError>;
  using RemoveResult = tl::expected<void, CloudError>;
  using RentResult = tl::expected<std::vector<MachineName>, CloudError>;
  using CatalogueCallback = std::function<void(CatalogueResult)>;
  using ListCallback = std::function<void(ListResult)>;
  using RemoveCallback = std::function<void(RemoveResult)>;
  using RentCallback = std::function<void(RentResult)>;

  CloudClient(asio::io_context& io_context, const Clock& clock, const net::Tcp::endpoint& endpoint,
              double rps);

  void catalogue(CatalogueCallback done);
  // All pages of the list of machines.
  void list(ListCallback done);
  // Deletes machines; on success they are deleted. Deletions go before everything else: tasks wait for them.
  void remove(const std::vector<MachineName>& machines, RemoveCallback done);
  void rent(const protocol::RentRequest& request, RentCallback done);
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
  void send_queued();
  void send(QueuedRequest request);
  void wait_for_rate_limit(Instant now);
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
