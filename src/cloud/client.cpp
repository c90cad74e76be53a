#include "cloud/client.h"

#include <utility>

#include "base/log.h"
#include "net/http_status.h"

namespace beaconsill::cloud {
namespace {
constexpr Duration kResponseTimeout = std::chrono::seconds(3);
constexpr Duration kMaxQueueWait = std::chrono::seconds(4);
constexpr std::size_t kMaxConnections = 2;
constexpr double kBurstSeconds = 1.5;
constexpr std::size_t kMaxLoggedBodyBytes = 200;

bool reports_no_capacity(const net::Response& response) {
  if (response.status != net::status::kServiceUnavailable) return false;
  try {
    return protocol::get_string(protocol::parse_object(response.body), "error") == "no capacity";
  } catch (const protocol::ProtocolError&) {
    return false;
  }
}

// Maps a response with a status other than 200, or a missing response, to an error.
CloudError to_cloud_error(const net::Result& result) {
  if (!result) return CloudError::kOutcomeUnknown;
  if (result->status == net::status::kBadRequest) return CloudError::kRejected;
  return reports_no_capacity(*result) ? CloudError::kNoCapacity : CloudError::kOutcomeUnknown;
}

// Returns the body of the response as parsed by `parse`, or an error. `request` names the request in log
// lines.
template <class Parse>
auto parse_response(const net::Result& result, const char* request, Parse parse)
    -> tl::expected<decltype(parse(protocol::Json())), CloudError> {
  if (!result || result->status != net::status::kOk) return tl::unexpected(to_cloud_error(result));
  try {
    return parse(protocol::parse_object(result->body));
  } catch (const protocol::ProtocolError& error) {
    spdlog::error("cloud_answer_malformed request={} reason=\"{}\"", request, error.what());
    return tl::unexpected(CloudError::kOutcomeUnknown);
  }
}
}  // namespace

CloudClient::CloudClient(asio::io_context& io_context, const Clock& clock, const net::Tcp::endpoint& endpoint,
                         double rps)
    : clock_(clock),
      http_(std::make_shared<net::HttpClient>(io_context, endpoint, kMaxConnections)),
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
                        clock_.now() + kMaxQueueWait};
  if (position == QueuePosition::kFront) {
    queue_.push_front(std::move(request));
  } else {
    queue_.push_back(std::move(request));
  }
  send_queued();
}

void CloudClient::send_queued() {
  if (stopped_) return;
  // Callbacks run last because they may enqueue further requests.
  for (auto& expired : send_until_rate_limit()) expired.done(tl::unexpected(net::RequestError::kNotSent));
}

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
  auto on_response = [weak = weak_from_this(), done = std::move(request.done)](net::Result result) {
    if (auto self = weak.lock(); self && result && result->status == net::status::kTooManyRequests)
      self->rate_limiter_.drain(self->clock_.now());
    done(std::move(result));
  };
  http_->request(request.method, request.target, request.body, kResponseTimeout, std::move(on_response));
}

void CloudClient::fetch_catalogue(CatalogueCallback done) {
  enqueue(QueuePosition::kBack, "GET", "/catalog", "", [done = std::move(done)](const net::Result& result) {
    done(parse_response(result, "catalogue", protocol::parse_catalogue));
  });
}

void CloudClient::list_machines(ListCallback done) {
  fetch_page(std::make_shared<std::vector<protocol::ListedMachine>>(), std::nullopt, std::move(done));
}

void CloudClient::fetch_page(const std::shared_ptr<std::vector<protocol::ListedMachine>>& machines,
                             const std::optional<MachineName>& after, ListCallback done) {
  auto on_page = [weak = weak_from_this(), machines,
                  done = std::move(done)](const net::Result& result) mutable {
    auto self = weak.lock();
    auto page = parse_response(result, "list_machines", protocol::parse_machine_page);
    if (!self || !page) {
      done(tl::unexpected(page ? CloudError::kOutcomeUnknown : page.error()));
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

void CloudClient::delete_machines(const std::vector<MachineName>& machines, DeleteCallback done) {
  enqueue(QueuePosition::kFront, "POST", "/machines/delete", protocol::render_delete_request(machines),
          [done = std::move(done)](const net::Result& result) {
            if (result && result->status == net::status::kOk) {
              done({});
              return;
            }
            done(tl::unexpected(to_cloud_error(result)));
          });
}

void CloudClient::rent_machines(const protocol::RentRequest& request, RentCallback done) {
  auto on_response = [done = std::move(done)](const net::Result& result) {
    auto machines = parse_response(result, "rent_machines", protocol::parse_rented_machines);
    if (result && machines == tl::unexpected(CloudError::kRejected))
      spdlog::error("cloud_request_refused request=rent_machines reason=\"{}\"",
                    result->body.substr(0, kMaxLoggedBodyBytes));
    done(std::move(machines));
  };
  enqueue(QueuePosition::kBack, "POST", "/machines", protocol::render_rent_request(request),
          std::move(on_response));
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
