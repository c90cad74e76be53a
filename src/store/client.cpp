#include "store/client.h"

#include <algorithm>
#include <map>

#include "base/log.h"
#include "store/records.h"

namespace beaconsill::store {
namespace {
constexpr Duration kTimeout = std::chrono::milliseconds(1500);
constexpr Duration kQueueWait = std::chrono::milliseconds(2500);
constexpr std::size_t kConnections = 6;

// Refusals this close together are no accident of several nodes asking at once.
constexpr Duration kRefusedAgain = std::chrono::seconds(10);
constexpr Duration kFirstPatience = std::chrono::seconds(60);
// No value is thought to be refused for its size below this.
constexpr std::size_t kLeastValue = 512;
constexpr Duration kMostPatience = std::chrono::seconds(600);

ReadResult to_read(const net::Result& r) {
  ReadResult out;
  out.status = r.status;
  if (!r.answered()) {
    out.outcome = r.sent ? Outcome::kUnknown : Outcome::kRefused;
    return out;
  }
  if (r.status == 503 || r.status == 429) {
    out.outcome = Outcome::kRefused;
    return out;
  }
  out.outcome = r.status == 200 ? Outcome::kOk : Outcome::kBad;
  if (r.status == 200) {
    try {
      out.body = wire::parse_object(r.body);
    } catch (const wire::WireError& e) {
      spdlog::error("state service: answer dropped: {}", e.what());
      out.outcome = Outcome::kBad;
    }
  }
  return out;
}
}  // namespace

bool LimitsInForce::on_too_many(Instant now) {
  bool again = refused_ != Instant{} && now - refused_ < kRefusedAgain;
  // Refused soon after the higher limits were tried anew: they are not back.
  bool tried = try_again_ != Instant{} && !lowered_ && now - try_again_ < kRefusedAgain;
  refused_ = now;
  if (lowered_ || !(again || tried)) return false;
  lowered_ = true;
  patience_ = tried ? std::min(2 * patience_, kMostPatience) : kFirstPatience;
  try_again_ = now + patience_;
  return true;
}

bool LimitsInForce::on_time(Instant now) {
  if (!lowered_ || now < try_again_) return false;
  lowered_ = false;
  try_again_ = now;
  return true;
}

void SizesInForce::on_refused(const wire::Txn& t) {
  if (t.writes.size() > 1) {
    txn_ops_ = std::min(txn_ops_, t.writes.size() / 2);
    return;
  }
  if (t.writes.empty() || !t.writes[0].value) return;
  auto bytes = wire::dump(*t.writes[0].value).size();
  if (bytes <= kLeastValue || bytes > value_bytes_) return;
  value_bytes_ = std::max(kLeastValue, bytes / 2);
  // It was this value, not the number of changes, that the larger ones were refused for.
  txn_ops_ = most_ops_;
}

StoreClient::StoreClient(asio::io_context& io, const Clock& clock, net::Tcp::endpoint at, StoreLimits limits,
                         StoreLimits next, double share)
    : io_(io),
      clock_(clock),
      http_(std::make_shared<net::HttpClient>(io, at, kConnections)),
      limits_(limits, next),
      sizes_(std::min(limits.txn_ops, next.txn_ops), std::min(limits.value_bytes, next.value_bytes)),
      request_share_(share),
      write_share_(share),
      requests_(limits.rps * share, 1.0, clock.now()),
      writes_(limits.write_rps * share, 1.0, clock.now()),
      timer_(io) {}

void StoreClient::set_shares(double requests, double writes) {
  if (requests == request_share_ && writes == write_share_) return;
  request_share_ = requests;
  write_share_ = writes;
  set_rates(clock_.now());
  pump();
}

void StoreClient::set_rates(Instant now) {
  requests_.set_rate(limits_.get().rps * request_share_, now);
  writes_.set_rate(limits_.get().write_rps * write_share_, now);
}

void StoreClient::txn(wire::Txn t, Urgency u, std::function<void(TxnResult)> done) {
  if (spdlog::should_log(spdlog::level::debug)) {
    std::map<std::string, int> kinds;
    for (const auto& w : t.writes)
      ++kinds[w.key.substr(0, w.key.find('/', kPrefix.size())) + (w.value ? "" : " dropped")];
    for (const auto& [kind, n] : kinds) spdlog::debug("state service: {} x {}", kind, n);
  }
  Job job{"POST", "/txn", wire::render_txn(t), static_cast<double>(t.writes.size()), {}, kTimeout, {}};
  // With a hold it may have been refused for that.
  bool bare =
      std::none_of(t.writes.begin(), t.writes.end(), [](const auto& w) { return w.hold.has_value(); });
  job.done = [weak = weak_from_this(), bare, t = std::move(t), done = std::move(done)](net::Result r) {
    TxnResult out;
    if (!r.answered()) {
      out.outcome = r.sent ? Outcome::kUnknown : Outcome::kRefused;
    } else if (r.status == 409) {
      out.outcome = Outcome::kConflict;
    } else if (r.status == 503 || r.status == 429) {
      out.outcome = Outcome::kRefused;
    } else if (r.status == 200) {
      try {
        out.revision = wire::parse_revision(wire::parse_object(r.body));
        out.outcome = Outcome::kOk;
      } catch (const wire::WireError& e) {
        spdlog::error("state service: answer to a transaction dropped: {}", e.what());
        out.outcome = Outcome::kUnknown;
      }
    } else {
      spdlog::error("state service: a transaction was answered {}: {}", r.status, r.body.substr(0, 200));
      out.outcome = Outcome::kBad;
      if (auto me = weak.lock(); me && bare && r.status == 400) me->sizes_.on_refused(t);
    }
    done(out);
  };
  enqueue(std::move(job), u);
}

void StoreClient::get(std::string target, Urgency u, std::function<void(ReadResult)> done) {
  enqueue({"GET",
           std::move(target),
           "",
           0,
           {},
           kTimeout,
           [done = std::move(done)](net::Result r) { done(to_read(r)); }},
          u);
}

void StoreClient::hold(std::uint32_t ttl_ms, std::function<void(ReadResult)> done) {
  enqueue({"POST",
           "/holds",
           wire::render_hold(ttl_ms),
           0,
           {},
           kTimeout,
           [done = std::move(done)](net::Result r) { done(to_read(r)); }},
          Urgency::kRole);
}

void StoreClient::renew(HoldId id, std::function<void(ReadResult)> done) {
  enqueue({"POST",
           wire::hold_target(id) + "/renew",
           "{}",
           0,
           {},
           kTimeout,
           [done = std::move(done)](net::Result r) { done(to_read(r)); }},
          Urgency::kRole);
}

void StoreClient::enqueue(Job job, Urgency u) {
  if (stopped_) return job.done({});
  job.deadline = clock_.now() + kQueueWait;
  queues_[static_cast<std::size_t>(u)].push_back(std::move(job));
  pump();
}

std::size_t StoreClient::spare_writes() const {
  double queued = 0;
  for (const auto& q : queues_)
    for (const auto& j : q) queued += j.writes;
  double spare = writes_.level(clock_.now()) - queued - limits_.get().write_rps * write_share_ / 2;
  return spare <= 0 ? 0 : static_cast<std::size_t>(spare);
}

Duration StoreClient::write_wait(Urgency u) const {
  double queued = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(u); ++i)
    for (const auto& j : queues_[i]) queued += j.writes;
  return from_seconds(queued / std::max(0.1, limits_.get().write_rps * write_share_));
}

void StoreClient::pump() {
  if (stopped_) return;
  auto now = clock_.now();
  Instant wake = Instant::max();
  std::vector<Job> late;
  for (std::size_t i = 0; i < kUrgencies; ++i) {
    auto& q = queues_[i];
    bool urgent = i == static_cast<std::size_t>(Urgency::kRole);
    while (!q.empty()) {
      if (q.front().deadline <= now) {
        late.push_back(std::move(q.front()));
        q.pop_front();
        continue;
      }
      double w = q.front().writes;
      auto ready = requests_.ready_at(1, urgent, now);
      if (w > 0) ready = std::max(ready, writes_.ready_at(w, urgent, now));
      if (ready > now) {
        // Those behind it wait as well: a steady stream of small requests must not starve a large one.
        wake = std::min({wake, ready, q.front().deadline});
        break;
      }
      requests_.take(1, urgent, now);
      if (w > 0) writes_.take(w, urgent, now);
      Job job = std::move(q.front());
      q.pop_front();
      http_->request(std::move(job.method), std::move(job.target), std::move(job.body), job.timeout,
                     [weak = weak_from_this(), done = std::move(job.done)](net::Result r) {
                       if (auto me = weak.lock()) me->judge(r);
                       done(std::move(r));
                     });
    }
    if (wake != Instant::max()) break;  // what is less urgent waits behind it
  }
  if (wake != Instant::max()) {
    timer_.expires_at(wake);
    timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
      if (auto me = weak.lock(); me && !ec) me->pump();
    });
  }
  for (auto& j : late) j.done({});
}

void StoreClient::judge(const net::Result& r) {
  auto now = clock_.now();
  if (r.status != 429) {
    if (limits_.on_time(now)) set_rates(now);
    return;
  }
  if (limits_.on_too_many(now)) {
    spdlog::info("state service: its lower limits seem to be in force");
    set_rates(now);
  }
  requests_.drain(now);
  writes_.drain(now);
  spdlog::info("state service: too many requests; this node pauses its own");
}

void StoreClient::stop() {
  stopped_ = true;
  timer_.cancel();
  for (auto& q : queues_) {
    auto jobs = std::move(q);
    q.clear();
    for (auto& j : jobs) j.done({});
  }
  http_->stop();
}

}  // namespace beaconsill::store
