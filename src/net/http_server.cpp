#include "net/http_server.h"

#include <algorithm>
#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <utility>

#include "net/http_status.h"
#include "net/message_parser.h"

namespace beaconsill::net {
namespace {

constexpr std::size_t kReadBufferBytes = 4096;
constexpr int kRetryAfterSeconds = 1;

std::string format(const Response& response, bool keep_alive) {
  std::string text =
      "HTTP/1.1 " + std::to_string(response.status) + ' ' +
      http_status_str(static_cast<http_status>(response.status)) +
      "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) +
      "\r\n";
  if (response.retry_after_s) text += "Retry-After: " + std::to_string(*response.retry_after_s) + "\r\n";
  if (!keep_alive) text += "Connection: close\r\n";
  text += "\r\n";
  text += response.body;
  return text;
}

}  // namespace

class HttpServer::Connection : public MessageParser::Sink, public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<HttpServer> server, Tcp::socket socket)
      : server_(std::move(server)),
        socket_(std::move(socket)),
        phase_timer_(server_->io_),
        parser_(HTTP_REQUEST, *this) {}

  void start(Connections::Position position) {
    position_ = position;
    std::error_code error;
    socket_.set_option(Tcp::no_delay(true), error);
    start_phase_timer(server_->limits_.idle_timeout);
    read();
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    std::error_code error;
    socket_.close(error);
    phase_timer_.cancel();
    end_user_request();
    server_->connections_.remove(position_, group_);
  }

  bool idle() const { return phase_ == Phase::kIdle; }
  bool receiving() const { return phase_ == Phase::kReceiving; }

  bool on_target(std::string_view text) override {
    target_.append(text);
    return count_header_bytes(text);
  }
  bool on_header_field(std::string_view text) override { return count_header_bytes(text); }
  bool on_header_value(std::string_view text) override { return count_header_bytes(text); }
  bool on_body(std::string_view text) override {
    if (request_.body.size() + text.size() > server_->limits_.max_body_bytes) {
      limit_exceeded_status_ = status::kContentTooLarge;
      return false;
    }
    request_.body.append(text);
    return true;
  }

 private:
  enum class Phase { kIdle, kReceiving, kHandling, kSending };

  bool count_header_bytes(std::string_view text) {
    header_bytes_ += text.size();
    if (header_bytes_ <= server_->limits_.max_header_bytes) return true;
    limit_exceeded_status_ = status::kHeaderFieldsTooLarge;
    return false;
  }

  // Closes the connection if the current phase lasts longer than `timeout`.
  void start_phase_timer(Duration timeout) {
    phase_timer_.expires_after(timeout);
    phase_timer_.async_wait([self = shared_from_this()](std::error_code error) {
      if (!error && self->phase_timer_.expiry() <= std::chrono::steady_clock::now()) self->close();
    });
  }

  void read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](std::error_code error, std::size_t size) {
                              if (self->closed_) return;
                              if (error) return self->close();
                              self->on_bytes({self->buffer_.data(), size});
                            });
  }

  void on_bytes(std::string_view bytes) {
    if (phase_ == Phase::kIdle) {
      phase_ = Phase::kReceiving;
      start_phase_timer(server_->limits_.receive_timeout);
    }
    received_.append(bytes);
    parse();
  }

  void parse() {
    const auto progress = parser_.parse(received_);
    if (progress.status == MessageParser::Status::kMalformed)
      return send({limit_exceeded_status_.value_or(status::kBadRequest), R"({"error":"malformed request"})",
                   std::nullopt, true});
    received_.erase(0, progress.consumed);
    if (progress.status == MessageParser::Status::kComplete) return handle();
    read();
  }

  void handle() {
    phase_ = Phase::kHandling;
    phase_timer_.cancel();
    keep_alive_ = parser_.keep_alive();
    request_.method = parser_.method();
    const auto query = target_.find('?');
    request_.path = target_.substr(0, query);
    if (query != std::string::npos) request_.query = target_.substr(query + 1);
    const bool from_user = server_->is_user_(request_);
    move_to(from_user ? ConnectionGroup::kUsers : ConnectionGroup::kOthers);
    // The connection stays open: the load balancer prefers controllers with few open connections, and would
    // send all new users to one that closes the connections of those that it refuses.
    if (from_user && !begin_user_request())
      return send({status::kServiceUnavailable, R"({"error":"too many requests at the same time"})",
                   kRetryAfterSeconds, false});
    server_->handler_(std::move(request_), [weak = weak_from_this(),
                                            request_number = ++request_number_](const Response& response) {
      auto self = weak.lock();
      if (self && self->awaits_response(request_number)) self->send(response);
    });
  }

  void move_to(ConnectionGroup group) {
    server_->connections_.move_to_end(position_, group_, group);
    group_ = group;
  }

  // Counts the request against the limit for users. Returns false if the limit is reached.
  bool begin_user_request() {
    if (server_->user_requests_ >= server_->limits_.user_share) {
      server_->log_refusal(RefusalReason::kUserLimit);
      return false;
    }
    in_user_request_ = true;
    ++server_->user_requests_;
    return true;
  }

  // To be called when the response is sent, or the connection closes.
  void end_user_request() {
    if (!in_user_request_) return;
    in_user_request_ = false;
    --server_->user_requests_;
  }

  bool awaits_response(std::uint64_t request_number) const {
    return !closed_ && request_number_ == request_number && phase_ == Phase::kHandling;
  }

  void send(const Response& response) {
    phase_ = Phase::kSending;
    if (response.close) keep_alive_ = false;
    send_buffer_ = format(response, keep_alive_);
    start_phase_timer(server_->limits_.send_timeout);
    asio::async_write(socket_, asio::buffer(send_buffer_),
                      [self = shared_from_this()](std::error_code error, std::size_t) {
                        if (self->closed_) return;
                        if (error || !self->keep_alive_) return self->close();
                        self->start_next_request();
                      });
  }

  void start_next_request() {
    end_user_request();
    request_ = {};
    target_.clear();
    send_buffer_.clear();
    send_buffer_.shrink_to_fit();
    header_bytes_ = 0;
    move_to(group_);
    if (received_.empty()) {
      phase_ = Phase::kIdle;
      start_phase_timer(server_->limits_.idle_timeout);
      return read();
    }
    phase_ = Phase::kReceiving;
    start_phase_timer(server_->limits_.receive_timeout);
    parse();
  }

  std::shared_ptr<HttpServer> server_;
  Tcp::socket socket_;
  asio::steady_timer phase_timer_;
  Connections::Position position_;
  ConnectionGroup group_ = ConnectionGroup::kUsers;
  MessageParser parser_;
  std::array<char, kReadBufferBytes> buffer_{};
  std::string received_;  // bytes that have not been parsed yet
  std::string target_;
  std::string send_buffer_;
  Request request_;
  std::size_t header_bytes_ = 0;
  std::uint64_t request_number_ = 0;
  std::optional<int> limit_exceeded_status_;  // set if the request exceeds a size limit
  Phase phase_ = Phase::kIdle;
  bool keep_alive_ = true;
  bool in_user_request_ = false;  // whether the request counts against the limit for users
  bool closed_ = false;
};

HttpServer::HttpServer(asio::io_context& io_context, const Tcp::endpoint& local, ServerLimits limits,
                       IsUser is_user, Handler handler)
    : io_(io_context),
      listener_(io_context, local),
      limits_(limits),
      is_user_(std::move(is_user)),
      handler_(std::move(handler)),
      connections_(limits.max_connections, limits.user_share) {}

HttpServer::~HttpServer() = default;

void HttpServer::start() {
  listener_.start([self = shared_from_this()](Tcp::socket socket) { self->on_accept(std::move(socket)); });
}

void HttpServer::stop() {
  listener_.stop();
  while (!connections_.empty()) {
    auto connection = connections_.front();
    connection->close();
  }
}

bool HttpServer::make_room_for_connection() {
  if (!connections_.full()) return true;
  auto evicted = connections_.find_evictable();
  if (!evicted) return false;
  evicted->close();
  return true;
}

void HttpServer::log_refusal(RefusalReason reason) {
  const auto now = std::chrono::steady_clock::now();
  if (!refusal_log_.due(now)) return refusal_log_.count();
  const auto& users = connections_.users();
  const auto idle_users =
      std::count_if(users.begin(), users.end(), [](const auto& connection) { return connection->idle(); });
  refusal_log_.log(reason, {connections_.size(), users.size(), static_cast<std::size_t>(idle_users)}, now);
}

void HttpServer::on_accept(Tcp::socket socket) {
  if (!make_room_for_connection()) return log_refusal(RefusalReason::kConnectionLimit);
  auto connection = std::make_shared<Connection>(shared_from_this(), std::move(socket));
  connection->start(connections_.add(connection));
}

}  // namespace beaconsill::net
