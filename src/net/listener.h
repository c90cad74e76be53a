// The accept loop of the servers. Internal to this package.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "net/http.h"

namespace beaconsill::net {

// Accepts connections until it's stopped. Used on the thread of the io_context.
class Listener {
 public:
  using OnAccept = std::function<void(Tcp::socket)>;

  // Throws std::system_error if the address can't be bound.
  Listener(asio::io_context& io_context, const Tcp::endpoint& local);

  // `on_accept` is called with each connection. It must own the object that holds this listener: it's kept by
  // the pending operation, which ends when the listener is stopped or the io_context is destroyed.
  void start(OnAccept on_accept);
  void stop();
  Tcp::endpoint local() const { return acceptor_.local_endpoint(); }

 private:
  void accept(const std::shared_ptr<const OnAccept>& on_accept);
  void pause(const std::shared_ptr<const OnAccept>& on_accept);

  Tcp::acceptor acceptor_;
  asio::steady_timer pause_timer_;
  bool stopped_ = false;
};

}  // namespace beaconsill::net
