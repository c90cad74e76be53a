// HTTP/1.1 client of one destination: a few kept connections, a queue, a deadline for each request.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/http.h"

namespace beaconsill::net {

struct Result {
  // No status: there was no answer. `sent` then tells whether the request may have been executed, or may
  // still be.
  int status = 0;
  bool sent = false;
  std::string body;
  std::optional<int> retry_after_s;
  bool answered() const { return status != 0; }
};

class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  using Callback = std::function<void(Result)>;
  HttpClient(asio::io_context& io, Tcp::endpoint to, std::size_t max_connections);
  ~HttpClient();
  void request(const std::string& method, const std::string& target, const std::string& body,
               Duration timeout, Callback done);
  // Closes everything; requests under way are called back with no answer.
  void stop();

 private:
  class Connection;
  struct Job {
    std::string text;
    Instant deadline;
    Callback done;
    bool head = false;
  };
  void pump();
  void release(Connection* c);
  void expire();

  asio::io_context& io_;
  Tcp::endpoint to_;
  std::size_t max_;
  asio::steady_timer timer_;
  std::deque<Job> queue_;
  std::vector<std::shared_ptr<Connection>> connections_;
  bool stopped_ = false;
};

}  // namespace beaconsill::net
