#include "net/peer_link.h"

#include <algorithm>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include "base/log.h"

namespace beaconsill::net {
namespace {
constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);
constexpr Duration kConnectWait = std::chrono::seconds(1);
// A connection over which nothing moves for this long is given up; heartbeats flow far more often.
constexpr Duration kStall = std::chrono::seconds(3);

std::string frame(const std::string& message) {
  auto n = static_cast<std::uint32_t>(message.size());
  std::string f;
  f.reserve(n + 4);
  for (int i = 0; i < 4; ++i) f.push_back(static_cast<char>(n >> (8 * i) & 0xff));
  return f += message;
}
}  // namespace

PeerSender::PeerSender(asio::io_context& io, Tcp::endpoint to, std::size_t max_queued)
    : io_(io),
      to_(std::move(to)),
      socket_(io),
      timer_(io),
      max_queued_(std::max(max_queued, kLeastQueued)),
      backoff_(kFirstBackoff) {}

void PeerSender::start() {
  connect();
}

void PeerSender::stop() {
  stopped_ = true;
  connected_ = false;
  ++epoch_;
  std::error_code ec;
  socket_.close(ec);
  timer_.cancel();
}

void PeerSender::reset() {
  if (connected_) again();
}

void PeerSender::connect() {
  if (stopped_) return;
  auto epoch = ++epoch_;
  socket_ = Tcp::socket(io_);
  timer_.expires_after(kConnectWait);
  timer_.async_wait([me = shared_from_this(), epoch](std::error_code ec) {
    if (!ec && epoch == me->epoch_ && !me->connected_) me->again();
  });
  socket_.async_connect(to_, [me = shared_from_this(), epoch](std::error_code ec) {
    if (epoch != me->epoch_ || me->stopped_) return;
    if (ec) return me->again();
    me->timer_.cancel();
    me->connected_ = true;
    me->backoff_ = kFirstBackoff;
    std::error_code ignored;
    me->socket_.set_option(Tcp::no_delay(true), ignored);
    // Nothing is ever received here; the read notices that the other side is gone.
    me->socket_.async_read_some(asio::buffer(me->sink_), [me, epoch](std::error_code, std::size_t) {
      if (epoch == me->epoch_) me->again();
    });
    me->write();
  });
}

void PeerSender::again() {
  if (stopped_) return;
  auto epoch = ++epoch_;
  connected_ = false;
  std::error_code ec;
  socket_.close(ec);
  queue_.clear();
  queued_bytes_ = 0;
  timer_.expires_after(backoff_);
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
  timer_.async_wait([me = shared_from_this(), epoch](std::error_code e) {
    if (!e && epoch == me->epoch_) me->connect();
  });
}

void PeerSender::send(const std::string& message) {
  if (!connected_ || message.size() > kMaxFrame || queued_bytes_ + message.size() > max_queued_) return;
  queued_bytes_ += message.size() + 4;
  queue_.push_back(frame(message));
  if (queue_.size() == 1) write();
}

void PeerSender::write() {
  if (queue_.empty() || !connected_) return;
  auto epoch = epoch_;
  timer_.expires_after(kStall);
  timer_.async_wait([me = shared_from_this(), epoch](std::error_code ec) {
    if (!ec && epoch == me->epoch_) me->again();
  });
  asio::async_write(socket_, asio::buffer(queue_.front()),
                    [me = shared_from_this(), epoch](std::error_code ec, std::size_t) {
                      if (epoch != me->epoch_) return;
                      if (ec) return me->again();
                      me->timer_.cancel();
                      me->queued_bytes_ -= me->queue_.front().size();
                      me->queue_.pop_front();
                      me->write();
                    });
}

class PeerReceiver::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<PeerReceiver> owner, Tcp::socket s)
      : owner_(std::move(owner)), socket_(std::move(s)) {}
  void read() {
    asio::async_read(
        socket_, asio::buffer(head_), [me = shared_from_this()](std::error_code ec, std::size_t) {
          if (ec) return me->close();
          std::uint32_t n = 0;
          for (int i = 0; i < 4; ++i) n |= static_cast<std::uint32_t>(me->head_[i]) << (8 * i);
          if (n > kMaxFrame) {
            spdlog::info("a peer sent a frame of {} bytes: connection closed", n);
            return me->close();
          }
          me->body_.resize(n);
          asio::async_read(me->socket_, asio::buffer(me->body_), [me](std::error_code e, std::size_t) {
            if (e) return me->close();
            if (!me->closed_) me->owner_->handler_(me->body_);
            if (!me->closed_) me->read();
          });
        });
  }
  void close() {
    if (closed_) return;
    closed_ = true;
    std::error_code ec;
    socket_.close(ec);
    std::erase_if(owner_->open_, [this](auto& c) { return c.get() == this; });
  }

 private:
  std::shared_ptr<PeerReceiver> owner_;
  Tcp::socket socket_;
  std::array<unsigned char, 4> head_;
  std::string body_;
  bool closed_ = false;
};

PeerReceiver::PeerReceiver(asio::io_context& io, const Tcp::endpoint& at, std::size_t max_connections,
                           Handler handler)
    : acceptor_(io), pause_(io), max_(max_connections), handler_(std::move(handler)) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
}

void PeerReceiver::start() {
  accept();
}

void PeerReceiver::stop() {
  stopped_ = true;
  std::error_code ec;
  acceptor_.close(ec);
  pause_.cancel();
  while (!open_.empty()) {
    auto c = open_.front();
    c->close();
  }
}

void PeerReceiver::accept() {
  acceptor_.async_accept([me = shared_from_this()](std::error_code ec, Tcp::socket socket) {
    if (me->stopped_) return;
    if (ec) {
      me->pause_.expires_after(std::chrono::milliseconds(50));
      me->pause_.async_wait([me](std::error_code e) {
        if (!e) me->accept();
      });
      return;
    }
    // A peer that came back leaves its old connection half open: the oldest makes room.
    while (me->open_.size() >= me->max_) {
      auto oldest = me->open_.front();
      oldest->close();
    }
    auto c = std::make_shared<Connection>(me, std::move(socket));
    me->open_.push_back(c);
    c->read();
    me->accept();
  });
}

}  // namespace beaconsill::net
