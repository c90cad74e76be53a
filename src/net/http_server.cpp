#include "net/http_server.h"

#include <http_parser.h>

#include <array>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <charconv>

#include "base/log.h"

namespace beaconsill::net {

std::optional<Tcp::endpoint> parse_endpoint(std::string_view text) {
  auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::error_code ec;
  auto address = asio::ip::make_address(std::string(text.substr(0, colon)), ec);
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  auto [p, err] = std::from_chars(text.data() + colon + 1, end, port);
  if (ec || err != std::errc() || p != end) return std::nullopt;
  return Tcp::endpoint(address, port);
}

class HttpServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<HttpServer> server, Tcp::socket socket)
      : server_(std::move(server)), socket_(std::move(socket)), timer_(server_->io_) {
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
  }

  void start(std::list<std::shared_ptr<Connection>>::iterator place) {
    place_ = place;
    std::error_code ec;
    socket_.set_option(Tcp::no_delay(true), ec);
    arm(server_->limits_.idle);
    read();
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    std::error_code ec;
    socket_.close(ec);
    timer_.cancel();
    if (user_) --server_->users_;
    server_->open_.erase(place_);
  }

  bool idle() const { return phase_ == Phase::kIdle; }

 private:
  enum class Phase { kIdle, kReceiving, kHandling, kSending };

  static Connection& self(http_parser* p) { return *static_cast<Connection*>(p->data); }

  static const http_parser_settings& settings() {
    static const http_parser_settings kSettings = [] {
      http_parser_settings t;
      http_parser_settings_init(&t);
      t.on_url = [](http_parser* p, const char* at, size_t n) {
        self(p).target_.append(at, n);
        return self(p).header_ok(n);
      };
      t.on_header_field = [](http_parser* p, const char*, size_t n) { return self(p).header_ok(n); };
      t.on_header_value = [](http_parser* p, const char*, size_t n) { return self(p).header_ok(n); };
      t.on_body = [](http_parser* p, const char* at, size_t n) {
        auto& c = self(p);
        if (c.request_.body.size() + n > c.server_->limits_.max_body) {
          c.refusal_ = 413;
          return 1;
        }
        c.request_.body.append(at, n);
        return 0;
      };
      t.on_message_complete = [](http_parser* p) {
        self(p).complete_ = true;
        // Whatever follows waits for the answer: requests are served one at a time.
        http_parser_pause(p, 1);
        return 0;
      };
      return t;
    }();
    return kSettings;
  }

  int header_ok(std::size_t n) {
    header_bytes_ += n;
    if (header_bytes_ <= server_->limits_.max_header) return 0;
    refusal_ = 431;
    return 1;
  }

  void arm(Duration d) {
    timer_.expires_after(d);
    timer_.async_wait([me = shared_from_this()](std::error_code ec) {
      if (!ec && me->timer_.expiry() <= std::chrono::steady_clock::now()) me->close();
    });
  }

  void read() {
    socket_.async_read_some(asio::buffer(buffer_),
                            [me = shared_from_this()](std::error_code ec, std::size_t n) {
                              if (me->closed_) return;
                              if (ec) return me->close();
                              if (me->phase_ == Phase::kIdle) {
                                me->phase_ = Phase::kReceiving;
                                me->arm(me->server_->limits_.receive);
                              }
                              me->pending_.append(me->buffer_.data(), n);
                              me->parse();
                            });
  }

  void parse() {
    std::size_t used = http_parser_execute(&parser_, &settings(), pending_.data(), pending_.size());
    auto err = HTTP_PARSER_ERRNO(&parser_);
    if (err == HPE_PAUSED) {
      // A paused parser has not consumed the byte that it stopped at.
      http_parser_pause(&parser_, 0);
    } else if (err != HPE_OK || parser_.upgrade) {
      return send({refusal_ ? refusal_ : 400, R"({"error":"malformed request"})", std::nullopt, true});
    }
    pending_.erase(0, used);
    if (complete_) return handle();
    read();
  }

  void handle() {
    phase_ = Phase::kHandling;
    timer_.cancel();
    keep_alive_ = http_should_keep_alive(&parser_) != 0;
    request_.method = http_method_str(static_cast<http_method>(parser_.method));
    auto q = target_.find('?');
    request_.path = target_.substr(0, q);
    if (q != std::string::npos) request_.query = target_.substr(q + 1);
    if (server_->is_user_(request_) && !user_) {
      if (server_->users_ >= server_->limits_.max_user_connections)
        return send({503, R"({"error":"too many connections"})", 1, true});
      user_ = true;
      ++server_->users_;
    }
    server_->handler_(std::move(request_), [weak = weak_from_this(), once = ++serial_](Response r) {
      auto me = weak.lock();
      if (me && !me->closed_ && me->serial_ == once && me->phase_ == Phase::kHandling) me->send(std::move(r));
    });
  }

  void send(Response r) {
    phase_ = Phase::kSending;
    if (r.close) keep_alive_ = false;
    out_ = "HTTP/1.1 " + std::to_string(r.status) + ' ' +
           http_status_str(static_cast<http_status>(r.status)) +
           "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(r.body.size()) + "\r\n";
    if (r.retry_after_s) out_ += "Retry-After: " + std::to_string(*r.retry_after_s) + "\r\n";
    if (!keep_alive_) out_ += "Connection: close\r\n";
    out_ += "\r\n";
    out_ += r.body;
    arm(server_->limits_.send);
    asio::async_write(socket_, asio::buffer(out_),
                      [me = shared_from_this()](std::error_code ec, std::size_t) {
                        if (me->closed_) return;
                        if (ec || !me->keep_alive_) return me->close();
                        me->next();
                      });
  }

  void next() {
    request_ = {};
    target_.clear();
    out_.clear();
    out_.shrink_to_fit();
    header_bytes_ = 0;
    complete_ = false;
    // The queue of connections is kept by the time of their last answer.
    server_->open_.splice(server_->open_.end(), server_->open_, place_);
    if (pending_.empty()) {
      phase_ = Phase::kIdle;
      arm(server_->limits_.idle);
      return read();
    }
    phase_ = Phase::kReceiving;
    arm(server_->limits_.receive);
    parse();
  }

  std::shared_ptr<HttpServer> server_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  std::list<std::shared_ptr<Connection>>::iterator place_;
  http_parser parser_;
  std::array<char, 4096> buffer_;
  std::string pending_;
  std::string target_;
  std::string out_;
  Request request_;
  std::size_t header_bytes_ = 0;
  std::uint64_t serial_ = 0;
  int refusal_ = 0;
  Phase phase_ = Phase::kIdle;
  bool complete_ = false;
  bool keep_alive_ = true;
  bool user_ = false;
  bool closed_ = false;
};

HttpServer::HttpServer(asio::io_context& io, const Tcp::endpoint& at, ServerLimits limits, IsUser is_user,
                       Handler handler)
    : io_(io),
      acceptor_(io),
      pause_(io),
      limits_(limits),
      is_user_(std::move(is_user)),
      handler_(std::move(handler)) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
}

HttpServer::~HttpServer() = default;

Tcp::endpoint HttpServer::local() const {
  return acceptor_.local_endpoint();
}

void HttpServer::start() {
  accept();
}

void HttpServer::stop() {
  stopped_ = true;
  std::error_code ec;
  acceptor_.close(ec);
  pause_.cancel();
  while (!open_.empty()) {
    auto c = open_.front();
    c->close();
  }
}

bool HttpServer::make_room() {
  if (open_.size() < limits_.max_connections) return true;
  for (auto& c : open_) {
    if (!c->idle()) continue;
    auto victim = c;
    victim->close();
    return true;
  }
  return false;
}

void HttpServer::accept() {
  acceptor_.async_accept([me = shared_from_this()](std::error_code ec, Tcp::socket socket) {
    if (me->stopped_) return;
    if (ec) {
      // Out of sockets, most likely: accepting again at once would only spin.
      spdlog::debug("accept failed: {}", ec.message());
      me->pause_.expires_after(std::chrono::milliseconds(50));
      me->pause_.async_wait([me](std::error_code e) {
        if (!e) me->accept();
      });
      return;
    }
    if (me->make_room()) {
      auto c = std::make_shared<Connection>(me, std::move(socket));
      me->open_.push_back(c);
      c->start(std::prev(me->open_.end()));
    }
    me->accept();
  });
}

}  // namespace beaconsill::net
