#include "net/http_client.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <charconv>

namespace beaconsill::net {
namespace {
constexpr std::size_t kMaxResponse = std::size_t{16} * 1024 * 1024;
}

class HttpClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<HttpClient> client)
      : client_(std::move(client)), socket_(client_->io_), timer_(client_->io_) {
    parser_.data = this;
  }

  bool busy() const { return busy_; }
  bool closed() const { return closed_; }

  void run(Job job) {
    busy_ = true;
    job_ = std::move(job);
    result_ = {};
    complete_ = false;
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    timer_.expires_at(job_.deadline);
    timer_.async_wait([me = shared_from_this()](std::error_code ec) {
      if (!ec && me->busy_ && me->timer_.expiry() <= std::chrono::steady_clock::now()) me->fail();
    });
    if (connected_) return send();
    socket_.async_connect(client_->to_, [me = shared_from_this()](std::error_code ec) {
      if (me->closed_) return;
      if (ec) return me->fail();
      me->connected_ = true;
      std::error_code ignored;
      me->socket_.set_option(Tcp::no_delay(true), ignored);
      me->send();
    });
  }

  void fail() {
    if (closed_) return;
    auto done = std::move(job_.done);
    bool was_busy = busy_;
    bool sent = result_.sent;
    shut();
    auto client = client_;
    client->release(this);
    if (was_busy && done) done(Result{0, sent, {}, {}});
  }

  void shut() {
    if (closed_) return;
    closed_ = true;
    busy_ = false;
    std::error_code ec;
    socket_.close(ec);
    timer_.cancel();
  }

 private:
  static Connection& self(http_parser* p) { return *static_cast<Connection*>(p->data); }
  static const http_parser_settings& settings() {
    static const http_parser_settings kSettings = [] {
      http_parser_settings t;
      http_parser_settings_init(&t);
      t.on_header_field = [](http_parser* p, const char* at, size_t n) {
        auto& c = self(p);
        if (c.in_value_) c.field_.clear(), c.in_value_ = false;
        c.field_.append(at, n);
        return 0;
      };
      t.on_header_value = [](http_parser* p, const char* at, size_t n) {
        auto& c = self(p);
        c.in_value_ = true;
        if (c.field_.size() == 11 && strncasecmp(c.field_.c_str(), "retry-after", 11) == 0) {
          int v = 0;
          if (std::from_chars(at, at + n, v).ec == std::errc()) c.result_.retry_after_s = v;
        }
        return 0;
      };
      t.on_body = [](http_parser* p, const char* at, size_t n) {
        auto& c = self(p);
        if (c.result_.body.size() + n > kMaxResponse) return 1;
        c.result_.body.append(at, n);
        return 0;
      };
      t.on_message_complete = [](http_parser* p) {
        self(p).complete_ = true;
        http_parser_pause(p, 1);
        return 0;
      };
      return t;
    }();
    return kSettings;
  }

  void send() {
    result_.sent = true;
    asio::async_write(socket_, asio::buffer(job_.text),
                      [me = shared_from_this()](std::error_code ec, std::size_t) {
                        if (me->closed_) return;
                        if (ec) return me->fail();
                      });
    if (!reading_) read();
  }

  void read() {
    reading_ = true;
    socket_.async_read_some(asio::buffer(buffer_),
                            [me = shared_from_this()](std::error_code ec, std::size_t n) {
                              me->reading_ = false;
                              if (me->closed_) return;
                              if (ec) return me->fail();
                              me->on_bytes(n);
                            });
  }

  void on_bytes(std::size_t n) {
    if (!busy_) return fail();  // the server speaks unasked: it closes, or it is confused
    http_parser_execute(&parser_, &settings(), buffer_.data(), n);
    auto err = HTTP_PARSER_ERRNO(&parser_);
    if (!complete_) {
      if (err != HPE_OK) return fail();
      return read();
    }
    http_parser_pause(&parser_, 0);
    result_.status = parser_.status_code;
    bool keep = http_should_keep_alive(&parser_) != 0;
    auto done = std::move(job_.done);
    auto result = std::move(result_);
    busy_ = false;
    timer_.cancel();
    if (keep) {
      read();  // notices when the other side closes
    } else {
      shut();
    }
    client_->release(this);
    done(std::move(result));
  }

  std::shared_ptr<HttpClient> client_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  http_parser parser_;
  std::array<char, 8192> buffer_;
  Job job_;
  Result result_;
  std::string field_;
  bool in_value_ = false;
  bool busy_ = false;
  bool connected_ = false;
  bool reading_ = false;
  bool complete_ = false;
  bool closed_ = false;
};

HttpClient::HttpClient(asio::io_context& io, Tcp::endpoint to, std::size_t max_connections)
    : io_(io), to_(std::move(to)), max_(max_connections), timer_(io) {}

HttpClient::~HttpClient() = default;

void HttpClient::request(const std::string& method, const std::string& target, const std::string& body,
                         Duration timeout, Callback done) {
  Job job;
  job.text = method + ' ' + target + " HTTP/1.1\r\nHost: " + to_.address().to_string() + ':' +
             std::to_string(to_.port()) + "\r\n";
  if (!body.empty() || method == "POST")
    job.text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
  job.text += "\r\n";
  job.text += body;
  job.deadline = std::chrono::steady_clock::now() + timeout;
  job.done = std::move(done);
  if (stopped_) {
    asio::post(io_, [done = std::move(job.done)] { done({}); });
    return;
  }
  queue_.push_back(std::move(job));
  pump();
}

void HttpClient::pump() {
  while (!queue_.empty()) {
    auto it = std::find_if(connections_.begin(), connections_.end(), [](auto& c) { return !c->busy(); });
    std::shared_ptr<Connection> c;
    if (it != connections_.end()) {
      c = *it;
    } else if (connections_.size() < max_) {
      c = std::make_shared<Connection>(shared_from_this());
      connections_.push_back(c);
    } else {
      break;
    }
    Job job = std::move(queue_.front());
    queue_.pop_front();
    c->run(std::move(job));
  }
  if (queue_.empty()) return;
  // Those still queued expire by themselves, all in one timer.
  auto soonest = std::min_element(queue_.begin(), queue_.end(),
                                  [](const Job& a, const Job& b) { return a.deadline < b.deadline; });
  timer_.expires_at(soonest->deadline);
  timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
    if (auto me = weak.lock(); me && !ec) me->expire();
  });
}

void HttpClient::expire() {
  auto now = std::chrono::steady_clock::now();
  std::vector<Callback> late;
  for (auto it = queue_.begin(); it != queue_.end();) {
    if (it->deadline <= now) {
      late.push_back(std::move(it->done));
      it = queue_.erase(it);
    } else {
      ++it;
    }
  }
  for (auto& done : late) done({});
  if (!stopped_) pump();
}

void HttpClient::release(Connection* c) {
  if (c->closed()) std::erase_if(connections_, [c](auto& x) { return x.get() == c; });
  if (stopped_) return;
  asio::post(io_, [weak = weak_from_this()] {
    if (auto me = weak.lock(); me && !me->stopped_) me->pump();
  });
}

void HttpClient::stop() {
  if (stopped_) return;
  stopped_ = true;
  timer_.cancel();
  auto queue = std::move(queue_);
  queue_.clear();
  auto open = std::move(connections_);
  connections_.clear();
  for (auto& c : open) c->fail();
  for (auto& j : queue) j.done({});
}

}  // namespace beaconsill::net
