#include "cloud/client.h"

#include <utility>

#include "base/log.h"
#include "net/http_status.h"

namespace beaconsill::cloud {
namespace {
constexpr Duration kTimeout = std::chrono::seconds(3);
constexpr Duration kQueueWait = std::chrono::seconds(4);
constexpr std::size_t kConnections = 2;
constexpr double kBurstSeconds = 1.5;
constexpr std::size_t kMaxLoggedBody = 200;

bool says_no_capacity(const net::Response& response) {
  if (response.status != net::status::kServiceUnavailable) return false;
  try {
    return protocol::get_string(protocol::parse_object(response.body), "error") == "no capacity";
  } catch (const protocol::ProtocolError&) {
    return false;
  }
}

// What an answer other than 200, or the lack of one, means.
CloudError to_error(const net::Result& result) {
  if (!result) return CloudError::kUnanswered;
  if (result->status == net::status::kBadRequest) return CloudError::kRejected;
  return says_no_capacity(*result) ? CloudError::kNoCapacity : CloudError::kUnanswered;
}

// The answer as `parse` reads it. `request`: for the log.
template <class Parse>
auto parse_answer(const net::Result& result, const char* request, Parse parse)
    -> tl::expected<decltype(parse(protocol::Json())), CloudError> {
  if (!result || result->status != net::status::kOk) return tl::unexpected(to_error(result));
  try {
    return parse(protocol::parse_object(result->body));
  } catch (const protocol::ProtocolError& error) {
    spdlog::error("cloud_answer_malformed request={} reason=\"{}\"", request, error.what());
    return tl::unexpected(CloudError::kUnanswered);
  }
}
}  // namespace

CloudClient::CloudClient(asio::io_context& io_context, const Clock& clock, const net::Tcp::endpoint& endpoint,
                         double rps)
    : clock_(clock),
      http_(std::make_shared<net::HttpClient>(io_context, endpoint, kConnections)),
      rate_limiter_(rps, kBurstSeconds, clock.now()),
      timer_(io_context) {}

void CloudClient::set_rate(double rps) {
  rate_limiter_.set_rate(rps, clock_.now());
}

void CloudClient::enqueue(QueuePosition position, std::string method, std::string target, std::string body,
                          std::function<void(net::Result)> done) {
  if (stopped_) {
    done(tl::unexpected(net::RequestError::kNotSent));
    return;
  }
  QueuedRequest request{std::move(method), std::move(target), std::move(body), std::move(done),
                        clock_.now() + kQueueWait};
  if (position == QueuePosition::kFront) {
    queue_.push_front(std::move(request));
  } else {
    queue_.push_back(std::move(request));
  }
  send_queued();
}

void CloudClient::send_queued() {
  if (stopped_) return;
  // Called back last: a callback may enqueue the next request.
  for (auto& expired : send_until_rate_limit()) expired.done(tl::unexpected(net::RequestError::kNotSent));
}

// Returns the requests that waited for too long.
std::vector<CloudClient::QueuedRequest> CloudClient::send_until_rate_limit() {
  auto now = clock_.now();
  std::vector<QueuedRequest> expired;
  while (!queue_.empty()) {
    if (queue_.front().deadline <= now) {
      expired.push_back(std::move(queue_.front()));
      queue_.pop_front();
      continue;
    }
    if (!rate_limiter_.take(1, false, now)) {
      wait_for_rate_limit(now);
      break;
    }
    auto request = std::move(queue_.front());
    queue_.pop_front();
    send(std::move(request));
  }
  return expired;
}

void CloudClient::wait_for_rate_limit(Instant now) {
  timer_.expires_at(rate_limiter_.ready_at(1, false, now));
  timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    if (auto self = weak.lock(); self && !error) self->send_queued();
  });
}

void CloudClient::send(QueuedRequest request) {
  auto on_answer = [weak = weak_from_this(), done = std::move(request.done)](net::Result result) {
    if (auto self = weak.lock(); self && result && result->status == net::status::kTooManyRequests)
      self->rate_limiter_.drain(self->clock_.now());
    done(std::move(result));
  };
  http_->request(request.method, request.target, request.body, kTimeout, std::move(on_answer));
}

void CloudClient::catalogue(CatalogueCallback done) {
  enqueue(QueuePosition::kBack, "GET", "/catalog", "", [done = std::move(done)](const net::Result& result) {
    done(parse_answer(result, "catalogue", protocol::parse_catalogue));
  });
}

void CloudClient::list(ListCallback done) {
  fetch_page(std::make_shared<std::vector<protocol::ListedMachine>>(), std::nullopt, std::move(done));
}

void CloudClient::fetch_page(const std::shared_ptr<std::vector<protocol::ListedMachine>>& machines,
                             const std::optional<MachineName>& after, ListCallback done) {
  auto on_page = [weak = weak_from_this(), machines,
                  done = std::move(done)](const net::Result& result) mutable {
    auto self = weak.lock();
    auto page = parse_answer(result, "list_machines", protocol::parse_machine_page);
    if (!self || !page) {
      done(tl::unexpected(page ? CloudError::kUnanswered : page.error()));
      return;
    }
    for (auto& machine : page->machines) machines->push_back(std::move(machine));
    if (page->more && !machines->empty()) {
      self->fetch_page(machines, machines->back().name, std::move(done));
      return;
    }
    done(std::move(*machines));
  };
  enqueue(QueuePosition::kBack, "GET", protocol::machine_page_target(after), "", std::move(on_page));
}

void CloudClient::remove(const std::vector<MachineName>& machines, RemoveCallback done) {
  enqueue(QueuePosition::kFront, "POST", "/machines/delete", protocol::render_delete_request(machines),
          [done = std::move(done)](const net::Result& result) {
            if (result && result->status == net::status::kOk) {
              done({});
              return;
            }
            done(tl::unexpected(to_error(result)));
          });
}

void CloudClient::rent(const protocol::RentRequest& request, RentCallback done) {
  auto on_answer = [done = std::move(done)](const net::Result& result) {
    auto machines = parse_answer(result, "rent_machines", protocol::parse_rented_machines);
    if (result && machines == tl::unexpected(CloudError::kRejected))
      spdlog::error("cloud_request_refused request=rent_machines reason=\"{}\"",
                    result->body.substr(0, kMaxLoggedBody));
    done(std::move(machines));
  };
  enqueue(QueuePosition::kBack, "POST", "/machines", protocol::render_rent_request(request),
          std::move(on_answer));
}

void CloudClient::stop() {
  stopped_ = true;
  timer_.cancel();
  auto queue = std::move(queue_);
  queue_.clear();
  for (auto& request : queue) request.done(tl::unexpected(net::RequestError::kNotSent));
  http_->stop();
}

}  // namespace beaconsill::cloud
