// Framed messages between controllers: four bytes of length (little endian), then the message.
// Each controller sends over connections that it opened itself and only receives on those that it accepted.
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

// Bytes of a message, at most.
constexpr std::size_t kMaxFrame = std::size_t{1024} * 1024;
// Bytes that may wait for a peer, at least: two frames.
constexpr std::size_t kLeastQueued = 2 * kMaxFrame;

// The sending side to one peer. Messages to a peer that can't be reached are dropped: they only make things
// quick. Used on the thread of the io_context.
class PeerSender : public std::enable_shared_from_this<PeerSender> {
 public:
  // `max_queued`: bytes that may wait to be sent; what comes beyond is dropped.
  PeerSender(asio::io_context& io_context, Tcp::endpoint remote, std::size_t max_queued = kLeastQueued);
  // Connects, and again after each failure.
  void start();
  void send(const std::string& message);
  void stop();
  // Drops the connection and connects again: for a peer whose echoes no longer come.
  void reset();
  bool connected() const { return connected_; }

 private:
  void connect();
  void on_connected();
  // Drops the connection with all that is queued; connects again after a pause.
  void reconnect();
  void write();

  asio::io_context& io_;
  Tcp::endpoint to_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  std::deque<std::string> queue_;  // of frames
  std::size_t max_queued_;
  std::size_t queued_bytes_ = 0;
  Duration backoff_;
  std::uint64_t epoch_ = 0;  // of the connection: callbacks of an earlier one are ignored
  std::array<char, 16> sink_{};
  bool connected_ = false;
  bool stopped_ = false;
};

// The receiving side for all peers. Used on the thread of the io_context.
class PeerReceiver : public std::enable_shared_from_this<PeerReceiver> {
 public:
  using Handler = std::function<void(std::string_view)>;
  // Throws std::system_error if the address can't be bound.
  PeerReceiver(asio::io_context& io_context, const Tcp::endpoint& local, std::size_t max_connections,
               Handler handler);
  void start();
  // Closes all connections.
  void stop();
  Tcp::endpoint local() const { return listener_.local(); }

 private:
  class Connection;
  void on_accept(Tcp::socket socket);

  Listener listener_;
  std::size_t max_connections_;
  Handler handler_;
  std::deque<std::shared_ptr<Connection>> connections_;  // the oldest first
};

}  // namespace beaconsill::net
