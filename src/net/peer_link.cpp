#include "net/peer_link.h"

#include <algorithm>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <utility>

#include "base/log.h"

namespace beaconsill::net {
namespace {

constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);
constexpr Duration kConnectTimeout = std::chrono::seconds(1);
// A connection is closed if sending one frame takes longer than this. The interval between heartbeats is far
// shorter.
constexpr Duration kStallTimeout = std::chrono::seconds(3);

constexpr std::size_t kFrameHeaderBytes = 4;
constexpr unsigned kBitsPerByte = 8;

std::string make_frame(const std::string& message) {
  const auto size = static_cast<std::uint32_t>(message.size());
  std::string frame;
  frame.reserve(size + kFrameHeaderBytes);
  for (unsigned i = 0; i < kFrameHeaderBytes; ++i)
    frame.push_back(static_cast<char>(size >> (kBitsPerByte * i) & 0xff));
  return frame += message;
}

std::uint32_t message_size(const std::array<unsigned char, kFrameHeaderBytes>& header) {
  std::uint32_t size = 0;
  for (unsigned i = 0; i < kFrameHeaderBytes; ++i)
    size |= static_cast<std::uint32_t>(header[i]) << (kBitsPerByte * i);
  return size;
}

}  // namespace

PeerSender::PeerSender(asio::io_context& io_context, Tcp::endpoint remote, std::size_t max_queue_bytes)
    : io_(io_context),
      remote_(std::move(remote)),
      socket_(io_context),
      timer_(io_context),
      max_queue_bytes_(std::max(max_queue_bytes, kMinQueueBytes)),
      backoff_(kInitialBackoff) {}

void PeerSender::start() {
  connect();
}

void PeerSender::stop() {
  stopped_ = true;
  connected_ = false;
  ++epoch_;
  std::error_code error;
  socket_.close(error);
  timer_.cancel();
}

void PeerSender::reset() {
  if (connected_) reconnect();
}

void PeerSender::connect() {
  if (stopped_) return;
  const auto epoch = ++epoch_;
  socket_ = Tcp::socket(io_);
  timer_.expires_after(kConnectTimeout);
  timer_.async_wait([self = shared_from_this(), epoch](std::error_code error) {
    if (!error && epoch == self->epoch_ && !self->connected_) self->reconnect();
  });
  socket_.async_connect(remote_, [self = shared_from_this(), epoch](std::error_code error) {
    if (epoch != self->epoch_ || self->stopped_) return;
    if (error) return self->reconnect();
    self->on_connected();
  });
}

void PeerSender::on_connected() {
  timer_.cancel();
  connected_ = true;
  backoff_ = kInitialBackoff;
  std::error_code ignored;
  socket_.set_option(Tcp::no_delay(true), ignored);
  // The peer never sends data over this connection. The read detects that the peer has closed it.
  socket_.async_read_some(asio::buffer(discarded_),
                          [self = shared_from_this(), epoch = epoch_](std::error_code, std::size_t) {
                            if (epoch == self->epoch_) self->reconnect();
                          });
  write();
}

void PeerSender::reconnect() {
  if (stopped_) return;
  const auto epoch = ++epoch_;
  connected_ = false;
  std::error_code ignored;
  socket_.close(ignored);
  queue_.clear();
  queued_bytes_ = 0;
  timer_.expires_after(backoff_);
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
  timer_.async_wait([self = shared_from_this(), epoch](std::error_code error) {
    if (!error && epoch == self->epoch_) self->connect();
  });
}

void PeerSender::send(const std::string& message) {
  if (!connected_ || message.size() > kMaxMessageBytes || queued_bytes_ + message.size() > max_queue_bytes_)
    return;
  queued_bytes_ += message.size() + kFrameHeaderBytes;
  queue_.push_back(make_frame(message));
  if (queue_.size() == 1) write();
}

void PeerSender::write() {
  if (queue_.empty() || !connected_) return;
  const auto epoch = epoch_;
  timer_.expires_after(kStallTimeout);
  timer_.async_wait([self = shared_from_this(), epoch](std::error_code error) {
    if (!error && epoch == self->epoch_) self->reconnect();
  });
  asio::async_write(socket_, asio::buffer(queue_.front()),
                    [self = shared_from_this(), epoch](std::error_code error, std::size_t) {
                      if (epoch != self->epoch_) return;
                      if (error) return self->reconnect();
                      self->timer_.cancel();
                      self->queued_bytes_ -= self->queue_.front().size();
                      self->queue_.pop_front();
                      self->write();
                    });
}

class PeerReceiver::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<PeerReceiver> receiver, Tcp::socket socket)
      : receiver_(std::move(receiver)), socket_(std::move(socket)) {}

  void read_header() {
    asio::async_read(socket_, asio::buffer(header_),
                     [self = shared_from_this()](std::error_code error, std::size_t) {
                       if (error) return self->close();
                       self->read_message(message_size(self->header_));
                     });
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    std::error_code error;
    socket_.close(error);
    std::erase_if(receiver_->connections_, [this](const auto& other) { return other.get() == this; });
  }

 private:
  void read_message(std::uint32_t size) {
    if (size > kMaxMessageBytes) {
      spdlog::info("peer_frame_too_large count={} reason=\"the limit is {} bytes\"", size, kMaxMessageBytes);
      return close();
    }
    message_.resize(size);
    asio::async_read(socket_, asio::buffer(message_),
                     [self = shared_from_this()](std::error_code error, std::size_t) {
                       if (error) return self->close();
                       if (!self->closed_) self->receiver_->handler_(self->message_);
                       if (!self->closed_) self->read_header();
                     });
  }

  std::shared_ptr<PeerReceiver> receiver_;
  Tcp::socket socket_;
  std::array<unsigned char, kFrameHeaderBytes> header_{};
  std::string message_;
  bool closed_ = false;
};

PeerReceiver::PeerReceiver(asio::io_context& io_context, const Tcp::endpoint& local,
                           std::size_t max_connections, Handler handler)
    : listener_(io_context, local), max_connections_(max_connections), handler_(std::move(handler)) {}

void PeerReceiver::start() {
  listener_.start([self = shared_from_this()](Tcp::socket socket) { self->on_accept(std::move(socket)); });
}

void PeerReceiver::stop() {
  listener_.stop();
  while (!connections_.empty()) {
    auto connection = connections_.front();
    connection->close();
  }
}

void PeerReceiver::on_accept(Tcp::socket socket) {
  // A peer that reconnects can leave its old connection half open, so the oldest connection is closed to make
  // room.
  while (connections_.size() >= max_connections_) {
    auto oldest = connections_.front();
    oldest->close();
  }
  auto connection = std::make_shared<Connection>(shared_from_this(), std::move(socket));
  connections_.push_back(connection);
  connection->read_header();
}

}  // namespace beaconsill::net
