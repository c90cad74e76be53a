#include "state_store/client.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "base/log.h"
#include "state_store/records.h"
#include "state_store/txn_draft.h"

namespace beaconsill::state_store {
namespace {
constexpr Duration kTimeout = std::chrono::milliseconds(1500);
// A transaction whose answer is lost occupies its connection for the whole timeout. With six connections,
// twenty lost answers held up the reads for 1.5 s (store_test).
constexpr std::size_t kConnections = 24;
constexpr Duration kLeastAnswerTimeout = std::chrono::milliseconds(100);
constexpr Duration kMostAnswerTimeout = std::chrono::milliseconds(400);

// Refusals this close together are no accident of several controllers asking at once.
constexpr Duration kRefusedAgain = std::chrono::seconds(10);
constexpr Duration kFirstPatience = std::chrono::seconds(60);
// No value is thought to be refused for its size below this.
constexpr std::size_t kLeastValue = 512;
constexpr Duration kMostPatience = std::chrono::seconds(600);

// The service refuses a transaction for its size: 400 by the protocol, 413 for the whole body.
bool too_large(int status) {
  return status == 400 || status == 413;
}

ReadResult to_read(const net::Result& r) {
  ReadResult out;
  out.status = r.status;
  if (!r.answered()) {
    out.outcome = r.sent ? RequestOutcome::kUnknown : RequestOutcome::kRefused;
    return out;
  }
  if (r.status == 503 || r.status == 429) {
    out.outcome = RequestOutcome::kRefused;
    return out;
  }
  out.outcome = r.status == 200 ? RequestOutcome::kOk : RequestOutcome::kBad;
  if (r.status == 200) {
    try {
      out.body = protocol::parse_object(r.body);
    } catch (const protocol::ProtocolError& e) {
      spdlog::error("state service: answer dropped: {}", e.what());
      out.outcome = RequestOutcome::kBad;
    }
  }
  return out;
}
}  // namespace

bool EffectiveRateLimits::on_too_many(Instant now) {
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

bool EffectiveRateLimits::on_time(Instant now) {
  if (!lowered_ || now < try_again_) return false;
  lowered_ = false;
  try_again_ = now;
  return true;
}

void EffectiveSizeLimits::lower(std::size_t& size, std::size_t to, Instant now) {
  if (to >= size) return;
  size = to;
  if (now < try_again_) return;
  patience_ = std::clamp(2 * patience_, kFirstPatience, kMostPatience);
  try_again_ = now + patience_;
}

void EffectiveSizeLimits::on_time(Instant now) {
  if (now < try_again_) return;
  txn_ops_ = most_ops_;
  value_bytes_ = most_value_bytes_;
}

void EffectiveSizeLimits::on_refused(const protocol::Txn& t, Instant now) {
  if (t.writes.size() > 1) return lower(txn_ops_, t.writes.size() / 2, now);
  if (t.writes.empty() || !t.writes[0].value) return;
  auto bytes = protocol::dump(*t.writes[0].value).size();
  if (bytes <= kLeastValue || bytes > value_bytes_) return;
  lower(value_bytes_, std::max(kLeastValue, bytes / 2), now);
  // It was this value, not the number of changes, that the larger ones were refused for.
  txn_ops_ = most_ops_;
}

StoreClient::StoreClient(asio::io_context& io, const Clock& clock, const net::Tcp::endpoint& at,
                         StoreLimits limits, StoreLimits next, double share)
    : clock_(clock),
      http_(std::make_shared<net::HttpClient>(io, at, kConnections)),
      limits_(limits, next),
      sizes_(std::min(limits.txn_ops, next.txn_ops),
             std::min({limits.value_bytes, next.value_bytes, kMaxValueBytes})),
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
  send_queued();
}

void StoreClient::set_rates(Instant now) {
  requests_.set_rate(limits_.get().rps * request_share_, now);
  writes_.set_rate(limits_.get().write_rps * write_share_, now);
}

void StoreClient::txn(protocol::Txn t, Urgency u, std::function<void(TxnResult)> done, TxnOptions options) {
  if (spdlog::should_log(spdlog::level::debug)) {
    std::map<std::string, int> kinds;
    for (const auto& w : t.writes)
      ++kinds[w.key.substr(0, w.key.find('/', kPrefix.size())) + (w.value ? "" : " dropped")];
    for (const auto& [kind, n] : kinds) spdlog::debug("state service: {} x {}", kind, n);
  }
  Job job{"POST",
          "/txn",
          protocol::render_txn(t),
          static_cast<double>(t.writes.size()),
          {},
          std::move(options.on_sent),
          options.queue_wait};
  // With a hold it may have been refused for that.
  bool bare =
      std::none_of(t.writes.begin(), t.writes.end(), [](const auto& w) { return w.lease.has_value(); });
  job.done = [weak = weak_from_this(), bare, t = std::move(t), done = std::move(done)](const net::Result& r) {
    TxnResult out;
    if (!r.answered()) {
      out.outcome = r.sent ? RequestOutcome::kUnknown : RequestOutcome::kRefused;
    } else if (r.status == 409) {
      out.outcome = RequestOutcome::kConflict;
    } else if (r.status == 503 || r.status == 429) {
      out.outcome = RequestOutcome::kRefused;
    } else if (r.status == 200) {
      try {
        out.revision = protocol::parse_revision(protocol::parse_object(r.body));
        out.outcome = RequestOutcome::kOk;
      } catch (const protocol::ProtocolError& e) {
        spdlog::error("state service: answer to a transaction dropped: {}", e.what());
        out.outcome = RequestOutcome::kUnknown;
      }
    } else {
      spdlog::error("state service: a transaction was answered {}: {}", r.status, r.body.substr(0, 200));
      out.outcome = RequestOutcome::kBad;
      if (auto me = weak.lock(); me && bare && too_large(r.status))
        me->sizes_.on_refused(t, me->clock_.now());
    }
    done(out);
  };
  enqueue(std::move(job), u);
}

void StoreClient::get(std::string target, Urgency u, std::function<void(ReadResult)> done) {
  Job job{"GET", std::move(target), "", 0, {}, {}};
  job.done = [done = std::move(done)](const net::Result& r) { done(to_read(r)); };
  enqueue(std::move(job), u);
}

void StoreClient::grant_lease(std::uint32_t ttl_ms, std::function<void(ReadResult)> done) {
  Job job{"POST", "/holds", protocol::render_lease(ttl_ms), 0, {}, {}};
  job.done = [done = std::move(done)](const net::Result& r) { done(to_read(r)); };
  enqueue(std::move(job), Urgency::kElection);
}

void StoreClient::renew(LeaseId id, std::function<void(ReadResult)> done) {
  Job job{"POST", protocol::lease_target(id) + "/renew", "{}", 0, {}, {}};
  job.done = [done = std::move(done)](const net::Result& r) { done(to_read(r)); };
  enqueue(std::move(job), Urgency::kElection);
}

void StoreClient::enqueue(Job job, Urgency u) {
  if (stopped_) return job.done({});
  job.deadline = clock_.now() + job.queue_wait;
  auto& queues = job.writes > 0 ? changes_ : reads_;
  queues[static_cast<std::size_t>(u)].push_back(std::move(job));
  send_queued();
}

std::size_t StoreClient::spare_writes() const {
  double queued = 0;
  for (const auto& q : changes_)
    for (const auto& j : q) queued += j.writes;
  double spare = writes_.level(clock_.now()) - queued - limits_.get().write_rps * write_share_ / 2;
  return spare <= 0 ? 0 : static_cast<std::size_t>(spare);
}

Duration StoreClient::write_wait(Urgency u) const {
  double queued = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(u); ++i)
    for (const auto& j : changes_[i]) queued += j.writes;
  return from_seconds(queued / std::max(0.1, limits_.get().write_rps * write_share_));
}

// Reads don't wait behind changes that wait for the budget of changes: submissions that are refused during an
// outage use that budget up, and every question would stand behind them (2 s in store_test).
void StoreClient::send_queued() {
  if (stopped_) return;
  std::optional<Instant> wake;
  bool changes_wait = false;
  std::vector<Job> late;
  for (std::size_t i = 0; i < kUrgencies; ++i) {
    bool urgent = i == static_cast<std::size_t>(Urgency::kElection);
    if (auto at = send_ready(reads_[i], urgent, late)) {
      wake = std::min(wake.value_or(*at), *at);
      break;  // out of requests altogether: what is less urgent waits as well
    }
    if (changes_wait) continue;
    if (auto at = send_ready(changes_[i], urgent, late)) {
      wake = at;
      changes_wait = true;
    }
  }
  if (wake) {
    timer_.expires_at(*wake);
    timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
      if (auto me = weak.lock(); me && !ec) me->send_queued();
    });
  }
  for (auto& j : late) j.done({});
}

std::optional<Instant> StoreClient::send_ready(Queue& queue, bool urgent, std::vector<Job>& late) {
  auto now = clock_.now();
  while (!queue.empty()) {
    auto& front = queue.front();
    if (front.deadline <= now) {
      late.push_back(std::move(front));
      queue.pop_front();
      continue;
    }
    auto ready = requests_.ready_at(1, urgent, now);
    if (front.writes > 0) ready = std::max(ready, writes_.ready_at(front.writes, urgent, now));
    // Those behind it wait as well: a steady stream of small changes must not starve a large one.
    if (ready > now) return std::min(ready, front.deadline);
    requests_.take(1, urgent, now);
    if (front.writes > 0) writes_.take(front.writes, urgent, now);
    Job job = std::move(front);
    queue.pop_front();
    send(std::move(job));
  }
  return std::nullopt;
}

void StoreClient::send(Job job) {
  if (job.on_sent) job.on_sent();
  bool read = job.writes == 0;
  http_->request(
      job.method, job.target, job.body, kTimeout,
      [weak = weak_from_this(), read, sent = clock_.now(), done = std::move(job.done)](net::Result r) {
        if (auto me = weak.lock()) me->judge(r, read, sent);
        done(std::move(r));
      });
}

void StoreClient::judge(const net::Result& r, bool read, Instant sent) {
  auto now = clock_.now();
  if (!r.answered()) {
    // An answer that came meanwhile tells more than one that is missing.
    if (read && answered_ <= sent) set_available(false);
    return;
  }
  if (r.status == 503) return set_available(false);
  answered_ = now;
  set_available(true);
  if (r.status == 429) {
    if (limits_.on_too_many(now)) {
      spdlog::info("state service: its lower limits seem to be in force");
      set_rates(now);
    }
    requests_.drain(now);
    writes_.drain(now);
    spdlog::info("state service: too many requests; this node pauses its own");
    return;
  }
  if (limits_.on_time(now)) set_rates(now);
  sizes_.on_time(now);
  double delay = to_seconds(now - sent);
  if (!delay_s_) {
    delay_s_ = delay;
    variation_s_ = delay / 2;
    return;
  }
  variation_s_ += (std::abs(delay - *delay_s_) - variation_s_) / 4;
  *delay_s_ += (delay - *delay_s_) / 8;
}

void StoreClient::set_available(bool available) {
  if (available == available_) return;
  available_ = available;
  spdlog::info("state service: {}", available ? "answers this node again" : "doesn't answer this node");
}

Duration StoreClient::answer_timeout() const {
  auto timeout = from_seconds(delay_s_.value_or(0) + 4 * variation_s_);
  return std::clamp(timeout, kLeastAnswerTimeout, kMostAnswerTimeout);
}

void StoreClient::stop() {
  stopped_ = true;
  timer_.cancel();
  for (auto* queues : {&reads_, &changes_})
    for (auto& q : *queues) {
      auto jobs = std::move(q);
      q.clear();
      for (auto& j : jobs) j.done({});
    }
  http_->stop();
}

}  // namespace beaconsill::state_store
