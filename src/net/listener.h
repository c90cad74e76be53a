// The accept loop that HttpServer and PeerReceiver use. Internal to this directory.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "net/http.h"

namespace beaconsill::net {

// Accepts connections until it is stopped. Must only be used on the thread of the io_context.
class Listener {
 public:
  using OnAccept = std::function<void(Tcp::socket)>;

  // Throws std::system_error if the address can't be bound.
  Listener(asio::io_context& io_context, const Tcp::endpoint& local);

  // Calls `on_accept` with each accepted connection. `on_accept` must own the object that contains this
  // listener: the pending accept operation stores `on_accept` and so keeps that object alive until the
  // listener is stopped or the io_context is destroyed.
  void start(OnAccept on_accept);
  void stop();
  Tcp::endpoint local() const { return acceptor_.local_endpoint(); }

 private:
  void accept(const std::shared_ptr<const OnAccept>& on_accept);
  // Accepts again after kRetryDelay.
  void accept_after_delay(const std::shared_ptr<const OnAccept>& on_accept);

  Tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  bool stopped_ = false;
};

}  // namespace beaconsill::net
