#include "net/http_client.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <utility>

#include "net/message_parser.h"

namespace beaconsill::net {
namespace {

constexpr std::size_t kMaxResponseBytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t kReadBufferBytes = 8192;
constexpr std::string_view kRetryAfter = "retry-after";

bool equal_ignoring_case(const std::string& first, std::string_view second) {
  return first.size() == second.size() && strncasecmp(first.c_str(), second.data(), second.size()) == 0;
}

}  // namespace

// A persistent connection that serves one request at a time.
class HttpClient::Connection : public MessageParser::Sink, public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(std::shared_ptr<HttpClient> client)
      : client_(std::move(client)),
        socket_(client_->io_),
        deadline_timer_(client_->io_),
        parser_(HTTP_RESPONSE, *this) {}

  bool busy() const { return busy_; }
  bool closed() const { return closed_; }

  void run(PendingRequest request) {
    busy_ = true;
    request_ = std::move(request);
    response_ = {};
    sent_ = false;
    parser_.reset();
    deadline_timer_.expires_at(request_.deadline);
    deadline_timer_.async_wait([self = shared_from_this()](std::error_code error) {
      if (!error && self->busy_ && self->deadline_timer_.expiry() <= std::chrono::steady_clock::now())
        self->fail();
    });
    if (connected_) return send();
    connect();
  }

  // Closes the connection and calls back with an error if a request is in progress.
  void fail() {
    if (closed_) return;
    auto done = std::move(request_.done);
    const bool was_busy = busy_;
    const auto error = sent_ ? RequestError::kNoResponse : RequestError::kNotSent;
    close();
    auto client = client_;
    client->release(this);
    if (was_busy && done) done(tl::unexpected(error));
  }

  bool on_header_field(std::string_view text) override {
    if (in_header_value_) header_field_.clear();
    in_header_value_ = false;
    header_field_.append(text);
    return true;
  }

  bool on_header_value(std::string_view text) override {
    in_header_value_ = true;
    if (!equal_ignoring_case(header_field_, kRetryAfter)) return true;
    int seconds = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), seconds).ec == std::errc())
      response_.retry_after_s = seconds;
    return true;
  }

  bool on_body(std::string_view text) override {
    if (response_.body.size() + text.size() > kMaxResponseBytes) return false;
    response_.body.append(text);
    return true;
  }

 private:
  void connect() {
    socket_.async_connect(client_->remote_, [self = shared_from_this()](std::error_code error) {
      if (self->closed_) return;
      if (error) return self->fail();
      self->connected_ = true;
      std::error_code ignored;
      self->socket_.set_option(Tcp::no_delay(true), ignored);
      self->send();
    });
  }

  void send() {
    sent_ = true;
    asio::async_write(socket_, asio::buffer(request_.text),
                      [self = shared_from_this()](std::error_code error, std::size_t) {
                        if (error && !self->closed_) self->fail();
                      });
    if (!reading_) read();
  }

  void read() {
    reading_ = true;
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](std::error_code error, std::size_t size) {
                              self->reading_ = false;
                              if (self->closed_) return;
                              if (error) return self->fail();
                              self->on_bytes({self->buffer_.data(), size});
                            });
  }

  void on_bytes(std::string_view bytes) {
    if (!busy_) return fail();  // data without a request: the server is closing, or it violates the protocol
    switch (parser_.parse(bytes).status) {
      case MessageParser::Status::kIncomplete:
        return read();
      case MessageParser::Status::kMalformed:
        return fail();
      case MessageParser::Status::kComplete:
        // The parser accepts the invalid status "000".
        return parser_.status_code() == 0 ? fail() : finish();
    }
  }

  void finish() {
    response_.status = parser_.status_code();
    const bool keep_alive = parser_.keep_alive();
    auto done = std::move(request_.done);
    auto response = std::move(response_);
    busy_ = false;
    deadline_timer_.cancel();
    if (keep_alive) {
      read();  // detects that the server closes the connection
    } else {
      close();
    }
    client_->release(this);
    done(std::move(response));
  }

  void close() {
    closed_ = true;
    busy_ = false;
    std::error_code error;
    socket_.close(error);
    deadline_timer_.cancel();
  }

  std::shared_ptr<HttpClient> client_;
  Tcp::socket socket_;
  asio::steady_timer deadline_timer_;
  MessageParser parser_;
  std::array<char, kReadBufferBytes> buffer_{};
  PendingRequest request_;
  Response response_;
  std::string header_field_;
  bool in_header_value_ = false;
  bool busy_ = false;
  bool sent_ = false;
  bool connected_ = false;
  bool reading_ = false;
  bool closed_ = false;
};

HttpClient::HttpClient(asio::io_context& io_context, Tcp::endpoint remote, std::size_t max_connections)
    : io_(io_context),
      remote_(std::move(remote)),
      max_connections_(max_connections),
      expiry_timer_(io_context) {}

HttpClient::~HttpClient() = default;

std::string HttpClient::format(const std::string& method, const std::string& target,
                               const std::string& body) const {
  std::string text = method + ' ' + target + " HTTP/1.1\r\nHost: " + remote_.address().to_string() + ':' +
                     std::to_string(remote_.port()) + "\r\n";
  if (!body.empty() || method == "POST")
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n";
  text += body;
  return text;
}

void HttpClient::request(const std::string& method, const std::string& target, const std::string& body,
                         Duration timeout, Callback done) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  if (stopped_) {
    asio::post(io_, [done = std::move(done)] { done(tl::unexpected(RequestError::kNotSent)); });
    return;
  }
  queue_.push_back({format(method, target, body), deadline, std::move(done)});
  dispatch();
}

std::shared_ptr<HttpClient::Connection> HttpClient::find_idle_connection() {
  auto it = std::find_if(connections_.begin(), connections_.end(),
                         [](const auto& connection) { return !connection->busy(); });
  if (it != connections_.end()) return *it;
  if (connections_.size() >= max_connections_) return nullptr;
  return connections_.emplace_back(std::make_shared<Connection>(shared_from_this()));
}

void HttpClient::dispatch() {
  while (!queue_.empty()) {
    auto connection = find_idle_connection();
    if (!connection) break;
    auto request = std::move(queue_.front());
    queue_.pop_front();
    connection->run(std::move(request));
  }
  if (!queue_.empty()) arm_expiry_timer();
}

void HttpClient::arm_expiry_timer() {
  const auto soonest = std::min_element(
      queue_.begin(), queue_.end(),
      [](const auto& first, const auto& second) { return first.deadline < second.deadline; });
  expiry_timer_.expires_at(soonest->deadline);
  expiry_timer_.async_wait([weak = weak_from_this()](std::error_code error) {
    if (auto self = weak.lock(); self && !error) self->expire_queued_requests();
  });
}

void HttpClient::expire_queued_requests() {
  const auto now = std::chrono::steady_clock::now();
  std::vector<Callback> expired;
  for (auto it = queue_.begin(); it != queue_.end();) {
    if (it->deadline <= now) {
      expired.push_back(std::move(it->done));
      it = queue_.erase(it);
    } else {
      ++it;
    }
  }
  for (auto& done : expired) done(tl::unexpected(RequestError::kNotSent));
  if (!stopped_) dispatch();
}

void HttpClient::release(Connection* connection) {
  if (connection->closed())
    std::erase_if(connections_, [connection](const auto& other) { return other.get() == connection; });
  if (stopped_) return;
  asio::post(io_, [weak = weak_from_this()] {
    if (auto self = weak.lock(); self && !self->stopped_) self->dispatch();
  });
}

void HttpClient::stop() {
  if (stopped_) return;
  stopped_ = true;
  expiry_timer_.cancel();
  auto queue = std::exchange(queue_, {});
  auto connections = std::exchange(connections_, {});
  for (auto& connection : connections) connection->fail();
  for (auto& request : queue) request.done(tl::unexpected(RequestError::kNotSent));
}

}  // namespace beaconsill::net
