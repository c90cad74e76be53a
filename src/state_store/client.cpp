#include "state_store/client.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/log.h"
#include "net/http_status.h"
#include "state_store/records.h"
#include "state_store/txn_draft.h"

namespace beaconsill::state_store {
namespace {

constexpr Duration kRequestTimeout = std::chrono::milliseconds(1500);
// A transaction whose response is lost occupies its connection until the request times out. With 6
// connections, 20 lost responses delayed the reads by 1.5 s (state_store_test).
constexpr std::size_t kConnections = 24;
// The response body of a rejected transaction is logged up to this length.
constexpr std::size_t kLoggedBodyBytes = 200;

// Returns whether a transaction with this response status may have been too large. The protocol specifies
// 400; 413 is sent if the whole request body is too large.
bool may_be_too_large(int status) {
  return status == net::status::kBadRequest || status == net::status::kContentTooLarge;
}

bool is_overload_or_outage(int status) {
  return status == net::status::kServiceUnavailable || status == net::status::kTooManyRequests;
}

ReadError read_error(int status) {
  if (is_overload_or_outage(status)) return ReadError::kNotExecuted;
  if (status == net::status::kNotFound) return ReadError::kNotFound;
  if (status == net::status::kGone) return ReadError::kCompacted;
  return ReadError::kRejected;
}

ReadResult to_read_result(const net::Result& response) {
  if (!response) {
    const bool sent = response.error() == net::RequestError::kNoResponse;
    return tl::unexpected(sent ? ReadError::kUnknown : ReadError::kNotExecuted);
  }
  if (response->status != net::status::kOk) return tl::unexpected(read_error(response->status));
  try {
    return ReadResponse{protocol::parse_object(response->body)};
  } catch (const protocol::ProtocolError& error) {
    spdlog::error("state_store_response_malformed reason=\"{}\"", error.what());
    return tl::unexpected(ReadError::kRejected);
  }
}

TxnError txn_error(const net::Response& response) {
  if (response.status == net::status::kConflict) return TxnError::kConflict;
  if (is_overload_or_outage(response.status)) return TxnError::kNotExecuted;
  spdlog::error("state_store_txn_rejected status={} reason=\"{}\"", response.status,
                response.body.substr(0, kLoggedBodyBytes));
  return TxnError::kRejected;
}

TxnResult to_txn_result(const net::Result& response) {
  if (!response) {
    const bool sent = response.error() == net::RequestError::kNoResponse;
    return tl::unexpected(sent ? TxnError::kUnknown : TxnError::kNotExecuted);
  }
  if (response->status != net::status::kOk) return tl::unexpected(txn_error(*response));
  try {
    return protocol::parse_revision(protocol::parse_object(response->body));
  } catch (const protocol::ProtocolError& error) {
    spdlog::error("state_store_txn_response_malformed reason=\"{}\"", error.what());
    return tl::unexpected(TxnError::kUnknown);
  }
}

// Logs how many keys of each kind a transaction puts and deletes.
void log_writes(const protocol::Txn& txn) {
  if (!spdlog::should_log(spdlog::level::debug)) return;
  std::map<std::string, int> counts;
  for (const auto& write : txn.writes)
    ++counts[write.key.substr(0, write.key.find('/', kKeyPrefix.size())) + (write.value ? "" : ":deleted")];
  for (const auto& [key, count] : counts) spdlog::debug("state_store_writes key={} count={}", key, count);
}

bool uses_lease(const protocol::Txn& txn) {
  return std::any_of(txn.writes.begin(), txn.writes.end(),
                     [](const auto& write) { return write.lease.has_value(); });
}

std::size_t smaller_limit(const std::optional<std::size_t>& first, const std::optional<std::size_t>& second) {
  return std::min(first.value_or(EffectiveSizeLimits::kUnlimited),
                  second.value_or(EffectiveSizeLimits::kUnlimited));
}

}  // namespace

StoreClient::StoreClient(asio::io_context& io_context, const Clock& clock, const net::Tcp::endpoint& remote,
                         StoreLimits limits, StoreLimits upcoming, double share)
    : clock_(clock),
      http_(std::make_shared<net::HttpClient>(io_context, remote, kConnections)),
      rate_limits_(limits, upcoming),
      size_limits_(smaller_limit(limits.txn_ops, upcoming.txn_ops),
                   std::min(smaller_limit(limits.value_bytes, upcoming.value_bytes), kMaxValueBytes)),
      request_share_(share),
      write_share_(share),
      queue_(limits.rps * share, limits.write_rps * share, clock.now()),
      dispatch_timer_(io_context) {}

void StoreClient::set_shares(double requests, double writes) {
  if (requests == request_share_ && writes == write_share_) return;
  request_share_ = requests;
  write_share_ = writes;
  update_rates(clock_.now());
  send_queued();
}

void StoreClient::update_rates(Instant now) {
  const auto& limits = rate_limits_.get();
  queue_.set_rates(limits.rps * request_share_, limits.write_rps * write_share_, now);
}

void StoreClient::txn(protocol::Txn txn, Urgency urgency, std::function<void(TxnResult)> done,
                      TxnOptions options) {
  log_writes(txn);
  StoreRequest request;
  request.method = "POST";
  request.target = "/txn";
  request.body = protocol::render_txn(txn);
  request.writes = txn.writes.size();
  request.on_sent = std::move(options.on_sent);
  request.queue_wait = options.queue_wait;
  request.done = [weak = weak_from_this(), txn = std::move(txn),
                  done = std::move(done)](const net::Result& response) {
    const auto result = to_txn_result(response);
    if (auto self = weak.lock(); self && response && result == tl::unexpected(TxnError::kRejected))
      self->on_size_refused(txn, response->status);
    done(result);
  };
  enqueue(std::move(request), urgency);
}

void StoreClient::on_size_refused(const protocol::Txn& txn, int status) {
  // A transaction with a lease may have been rejected because the lease has expired.
  if (!may_be_too_large(status) || uses_lease(txn)) return;
  size_limits_.on_size_refused(txn, clock_.now());
}

void StoreClient::get(std::string target, Urgency urgency, std::function<void(ReadResult)> done) {
  StoreRequest request;
  request.method = "GET";
  request.target = std::move(target);
  enqueue_read(std::move(request), urgency, std::move(done));
}

void StoreClient::grant_lease(std::uint32_t ttl_ms, std::function<void(ReadResult)> done) {
  StoreRequest request;
  request.method = "POST";
  request.target = protocol::leases_target();
  request.body = protocol::render_lease_request(ttl_ms);
  enqueue_read(std::move(request), Urgency::kElection, std::move(done));
}

void StoreClient::renew(LeaseId id, std::function<void(ReadResult)> done) {
  StoreRequest request;
  request.method = "POST";
  request.target = protocol::lease_target(id) + "/renew";
  request.body = "{}";
  enqueue_read(std::move(request), Urgency::kElection, std::move(done));
}

void StoreClient::enqueue_read(StoreRequest request, Urgency urgency, std::function<void(ReadResult)> done) {
  request.done = [done = std::move(done)](const net::Result& response) { done(to_read_result(response)); };
  enqueue(std::move(request), urgency);
}

void StoreClient::enqueue(StoreRequest request, Urgency urgency) {
  if (stopped_) return request.done(tl::unexpected(net::RequestError::kNotSent));
  queue_.push(std::move(request), urgency, clock_.now());
  send_queued();
}

void StoreClient::send_queued() {
  if (stopped_) return;
  auto dispatched = queue_.dispatch(clock_.now());
  for (auto& request : dispatched.ready) send(std::move(request));
  if (dispatched.next_dispatch) {
    dispatch_timer_.expires_at(*dispatched.next_dispatch);
    dispatch_timer_.async_wait([weak = weak_from_this()](std::error_code error) {
      if (auto self = weak.lock(); self && !error) self->send_queued();
    });
  }
  for (auto& request : dispatched.expired) request.done(tl::unexpected(net::RequestError::kNotSent));
}

void StoreClient::send(StoreRequest request) {
  if (request.on_sent) request.on_sent();
  http_->request(request.method, request.target, request.body, kRequestTimeout,
                 [weak = weak_from_this(), is_read = request.is_read(), sent = clock_.now(),
                  done = std::move(request.done)](net::Result response) {
                   if (auto self = weak.lock()) self->on_response(response, is_read, sent);
                   done(std::move(response));
                 });
}

void StoreClient::on_response(const net::Result& response, bool is_read, Instant sent) {
  if (!response) {
    // A response that arrived after this request was sent shows that the state store is available, even
    // though this request was not answered.
    const bool newer_response = last_response_ && *last_response_ > sent;
    if (is_read && !newer_response) set_available(false);
    return;
  }
  if (response->status == net::status::kServiceUnavailable) return set_available(false);
  const auto now = clock_.now();
  last_response_ = now;
  set_available(true);
  if (response->status == net::status::kTooManyRequests) return on_rate_limited(now);
  if (rate_limits_.restore_if_due(now)) update_rates(now);
  size_limits_.restore_if_due(now);
  response_delay_.add_sample(now - sent);
}

void StoreClient::on_rate_limited(Instant now) {
  if (rate_limits_.on_rate_limited(now)) {
    spdlog::info("state_store_rate_limits_lowered");
    update_rates(now);
  }
  queue_.on_rate_limited(now);
  spdlog::info("state_store_rate_limited");
}

void StoreClient::set_available(bool available) {
  if (available == available_) return;
  available_ = available;
  spdlog::info("{}", available ? "state_store_available" : "state_store_unavailable");
}

void StoreClient::stop() {
  stopped_ = true;
  dispatch_timer_.cancel();
  for (auto& request : queue_.take_all()) request.done(tl::unexpected(net::RequestError::kNotSent));
  http_->stop();
}

}  // namespace beaconsill::state_store
