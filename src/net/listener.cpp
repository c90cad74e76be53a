#include "net/listener.h"

#include <utility>

#include "base/log.h"

namespace beaconsill::net {
namespace {

// Out of sockets, most likely: accepting again at once would only spin.
constexpr Duration kPauseAfterFailure = std::chrono::milliseconds(50);

}  // namespace

Listener::Listener(asio::io_context& io, const Tcp::endpoint& at) : acceptor_(io), pause_timer_(io) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
}

void Listener::start(OnAccept on_accept) {
  accept(std::make_shared<const OnAccept>(std::move(on_accept)));
}

void Listener::stop() {
  stopped_ = true;
  std::error_code ec;
  acceptor_.close(ec);
  pause_timer_.cancel();
}

void Listener::accept(const std::shared_ptr<const OnAccept>& on_accept) {
  acceptor_.async_accept([this, on_accept](std::error_code ec, Tcp::socket socket) {
    if (stopped_) return;
    if (ec) {
      spdlog::debug("accept_failed reason=\"{}\"", ec.message());
      return pause(on_accept);
    }
    (*on_accept)(std::move(socket));
    accept(on_accept);
  });
}

void Listener::pause(const std::shared_ptr<const OnAccept>& on_accept) {
  pause_timer_.expires_after(kPauseAfterFailure);
  pause_timer_.async_wait([this, on_accept](std::error_code ec) {
    if (!ec) accept(on_accept);
  });
}

}  // namespace beaconsill::net
