#include "cloud/client.h"

#include "base/log.h"

namespace beaconsill::cloud {
namespace {
constexpr Duration kTimeout = std::chrono::seconds(3);
constexpr Duration kQueueWait = std::chrono::seconds(4);
constexpr std::size_t kConnections = 2;

template <class Parse>
auto parsed(const net::Result& r, const char* what, Parse parse)
    -> std::optional<decltype(parse(protocol::Json()))> {
  if (r.status != 200) return std::nullopt;
  try {
    return parse(protocol::parse_object(r.body));
  } catch (const protocol::ProtocolError& e) {
    spdlog::error("cloud: {} dropped: {}", what, e.what());
    return std::nullopt;
  }
}
}  // namespace

CloudClient::CloudClient(asio::io_context& io, const Clock& clock, const net::Tcp::endpoint& at, double rps)
    : clock_(clock),
      http_(std::make_shared<net::HttpClient>(io, at, kConnections)),
      budget_(rps, 1.5, clock.now()),
      timer_(io) {}

void CloudClient::set_rate(double rps) {
  budget_.set_rate(rps, clock_.now());
}

void CloudClient::enqueue(bool first, std::string method, std::string target, std::string body,
                          std::function<void(net::Result)> done) {
  if (stopped_) return done({});
  Job j{std::move(method), std::move(target), std::move(body), std::move(done), clock_.now() + kQueueWait};
  if (first) {
    queue_.push_front(std::move(j));
  } else {
    queue_.push_back(std::move(j));
  }
  send_queued();
}

void CloudClient::send_queued() {
  if (stopped_) return;
  auto now = clock_.now();
  std::vector<Job> late;
  while (!queue_.empty()) {
    if (queue_.front().deadline <= now) {
      late.push_back(std::move(queue_.front()));
      queue_.pop_front();
      continue;
    }
    if (!budget_.take(1, false, now)) {
      timer_.expires_at(budget_.ready_at(1, false, now));
      timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
        if (auto me = weak.lock(); me && !ec) me->send_queued();
      });
      break;
    }
    Job j = std::move(queue_.front());
    queue_.pop_front();
    http_->request(j.method, j.target, j.body, kTimeout,
                   [weak = weak_from_this(), done = std::move(j.done)](net::Result r) {
                     if (auto me = weak.lock(); me && r.status == 429) me->budget_.drain(me->clock_.now());
                     done(std::move(r));
                   });
  }
  for (auto& j : late) j.done({});
}

void CloudClient::catalogue(std::function<void(std::optional<protocol::Catalogue>)> done) {
  enqueue(false, "GET", "/catalog", "", [done = std::move(done)](const net::Result& r) {
    done(parsed(r, "catalogue", protocol::parse_catalogue));
  });
}

void CloudClient::list(std::function<void(std::optional<std::vector<protocol::ListedMachine>>)> done) {
  next_page(std::make_shared<std::vector<protocol::ListedMachine>>(), std::nullopt, std::move(done));
}

void CloudClient::next_page(const std::shared_ptr<std::vector<protocol::ListedMachine>>& so_far,
                            const std::optional<MachineName>& after,
                            std::function<void(std::optional<std::vector<protocol::ListedMachine>>)> done) {
  enqueue(false, "GET", protocol::machine_page_target(after), "",
          [weak = weak_from_this(), so_far, done = std::move(done)](const net::Result& r) mutable {
            auto me = weak.lock();
            auto page = parsed(r, "list of machines", protocol::parse_machine_page);
            if (!me || !page) return done(std::nullopt);
            for (auto& m : page->machines) so_far->push_back(std::move(m));
            if (page->more && !so_far->empty())
              return me->next_page(so_far, so_far->back().name, std::move(done));
            done(std::move(*so_far));
          });
}

void CloudClient::remove(const std::vector<MachineName>& names, std::function<void(bool)> done) {
  enqueue(true, "POST", "/machines/delete", protocol::render_delete(names),
          [done = std::move(done)](const net::Result& r) { done(r.status == 200); });
}

void CloudClient::rent(const protocol::RentRequest& req,
                       std::function<void(RentOutcome, std::vector<MachineName>)> done) {
  enqueue(false, "POST", "/machines", protocol::render_rent(req),
          [done = std::move(done)](const net::Result& r) {
            if (auto names = parsed(r, "answer to a rental request", protocol::parse_rented)) {
              return done(RentOutcome::kRented, std::move(*names));
            }
            bool none = false;
            if (r.status == 503) {
              try {
                none = protocol::get_string(protocol::parse_object(r.body), "error") == "no capacity";
              } catch (const protocol::ProtocolError&) {
                none = false;
              }
            }
            if (r.status == 400)
              spdlog::error("cloud: a rental request was malformed: {}", r.body.substr(0, 200));
            done(none || r.status == 400 ? RentOutcome::kNoCapacity : RentOutcome::kUnanswered, {});
          });
}

void CloudClient::stop() {
  stopped_ = true;
  timer_.cancel();
  auto queue = std::move(queue_);
  queue_.clear();
  for (auto& j : queue) j.done({});
  http_->stop();
}

}  // namespace beaconsill::cloud
