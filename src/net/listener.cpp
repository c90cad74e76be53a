#include "net/listener.h"

#include <utility>

#include "base/log.h"

namespace beaconsill::net {
namespace {

// The delay after a failed accept. The usual cause is that the process is out of file descriptors, so
// retrying at once would be a busy loop.
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);

}  // namespace

Listener::Listener(asio::io_context& io_context, const Tcp::endpoint& local)
    : acceptor_(io_context), retry_timer_(io_context) {
  acceptor_.open(local.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(local);
  acceptor_.listen();
}

void Listener::start(OnAccept on_accept) {
  accept(std::make_shared<const OnAccept>(std::move(on_accept)));
}

void Listener::stop() {
  stopped_ = true;
  std::error_code error;
  acceptor_.close(error);
  retry_timer_.cancel();
}

void Listener::accept(const std::shared_ptr<const OnAccept>& on_accept) {
  acceptor_.async_accept([this, on_accept](std::error_code error, Tcp::socket socket) {
    if (stopped_) return;
    if (error) {
      spdlog::debug("accept_failed reason=\"{}\"", error.message());
      return accept_after_delay(on_accept);
    }
    (*on_accept)(std::move(socket));
    accept(on_accept);
  });
}

void Listener::accept_after_delay(const std::shared_ptr<const OnAccept>& on_accept) {
  retry_timer_.expires_after(kRetryDelay);
  retry_timer_.async_wait([this, on_accept](std::error_code error) {
    if (!error) accept(on_accept);
  });
}

}  // namespace beaconsill::net
