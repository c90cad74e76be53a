// Exchanges messages between controllers over TCP. A frame consists of the length of the message (four bytes,
// little endian) and the message. A controller only sends over connections that it has opened, and only
// receives over connections that it has accepted.
#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/http.h"
#include "net/listener.h"

namespace beaconsill::net {

// Maximum size of a message.
constexpr std::size_t kMaxMessageBytes = std::size_t{1024} * 1024;
// Lower limit for the size of a send queue, which leaves room for two messages of the maximum size.
constexpr std::size_t kMinQueueBytes = 2 * kMaxMessageBytes;

// Sends messages to one peer. Messages to an unreachable peer are dropped, which is safe because peer
// messages only reduce latency. Must only be used on the thread of the io_context.
class PeerSender : public std::enable_shared_from_this<PeerSender> {
 public:
  // `max_queue_bytes` limits the bytes that are queued for sending, and is raised to kMinQueueBytes if it is
  // lower. Messages that would exceed it are dropped.
  PeerSender(asio::io_context& io_context, Tcp::endpoint remote,
             std::size_t max_queue_bytes = kMinQueueBytes);
  // Connects, and reconnects after each failure.
  void start();
  // Queues the message. Drops it if there is no connection, if it is larger than kMaxMessageBytes or if the
  // queue is full.
  void send(const std::string& message);
  void stop();
  // Closes the connection, if there is one, and reconnects. For a peer that no longer answers heartbeats.
  void reset();
  bool connected() const { return connected_; }

 private:
  void connect();
  void on_connected();
  // Closes the connection, drops all queued messages and connects again after the backoff time.
  void reconnect();
  void write();

  asio::io_context& io_;
  Tcp::endpoint remote_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  std::deque<std::string> queue_;  // complete frames
  std::size_t max_queue_bytes_;
  std::size_t queued_bytes_ = 0;
  Duration backoff_;
  std::uint64_t epoch_ = 0;  // number of the connection; callbacks of earlier connections are ignored
  std::array<char, 16> discarded_{};
  bool connected_ = false;
  bool stopped_ = false;
};

// Receives the messages of all peers. Must only be used on the thread of the io_context.
class PeerReceiver : public std::enable_shared_from_this<PeerReceiver> {
 public:
  using Handler = std::function<void(std::string_view)>;
  // Throws std::system_error if the address can't be bound.
  PeerReceiver(asio::io_context& io_context, const Tcp::endpoint& local, std::size_t max_connections,
               Handler handler);
  void start();
  // Stops accepting connections and closes all open ones.
  void stop();
  Tcp::endpoint local() const { return listener_.local(); }

 private:
  class Connection;
  void on_accept(Tcp::socket socket);

  Listener listener_;
  std::size_t max_connections_;
  Handler handler_;
  std::deque<std::shared_ptr<Connection>> connections_;  // in the order in which they were accepted
};

}  // namespace beaconsill::net
