// Client of the cloud's API, within its limit of requests.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>

#include "net/http_client.h"
#include "protocol/cloud.h"
#include "state_store/rate_limiter.h"

namespace beaconsill::cloud {

// Owns the queue of requests and the connections. A request waits for its turn within `rps` (requests per
// second) for a few seconds. Errors aren't thrown: a callback gets nothing (nullopt, false, kUnanswered) if
// there was no well-formed answer in time.
class CloudClient : public std::enable_shared_from_this<CloudClient> {
 public:
  CloudClient(asio::io_context& io, const Clock& clock, const net::Tcp::endpoint& at, double rps);

  void catalogue(std::function<void(std::optional<protocol::Catalogue>)> done);
  // All pages.
  void list(std::function<void(std::optional<std::vector<protocol::ListedMachine>>)> done);
  // 200: true. Deletions go before everything else: tasks wait for them.
  void remove(const std::vector<MachineName>& names, std::function<void(bool)> done);
  enum class RentOutcome { kRented, kNoCapacity, kUnanswered };
  void rent(const protocol::RentRequest& r, std::function<void(RentOutcome, std::vector<MachineName>)> done);
  void set_rate(double rps);
  void stop();

 private:
  struct Job {
    std::string method, target, body;
    std::function<void(net::Result)> done;
    Instant deadline;
  };
  void enqueue(bool first, std::string method, std::string target, std::string body,
               std::function<void(net::Result)> done);
  void send_queued();
  void next_page(const std::shared_ptr<std::vector<protocol::ListedMachine>>& so_far,
                 const std::optional<MachineName>& after,
                 std::function<void(std::optional<std::vector<protocol::ListedMachine>>)> done);

  const Clock& clock_;
  std::shared_ptr<net::HttpClient> http_;
  state_store::RateLimiter budget_;
  std::deque<Job> queue_;
  asio::steady_timer timer_;
  bool stopped_ = false;
};

}  // namespace beaconsill::cloud
