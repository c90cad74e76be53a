#include "cancellation_barrier_model.h"

#include <algorithm>

namespace beaconsill::model {
namespace {

constexpr Ms kStep = 20;
constexpr Ms kLength = 240'000;
constexpr Ms kHeartbeatPeriod = 500;
constexpr Ms kReadPeriod = 400;
constexpr Ms kLease = 17'500;
constexpr Ms kCancelLimit = 47'500;
constexpr Ms kReadLease = (kCancelLimit - kLease) / 4;
// Without knowledge of cancellations for longer than this a controller answers no worker ...
constexpr Ms kAnswerLimit = kCancelLimit - kLease - 1000;
// ... and after an acknowledgement a shard leader that doesn't know of it may answer for no longer than this.
constexpr Ms kBroken = kCancelLimit - kLease - 500;

}  // namespace

Result Model::run() {
  for (now_ = 0; now_ < kLength; now_ += kStep) {
    for (std::size_t index = 0; index < kControllers; ++index) step(index);
    let_users_act();
    check_rules();
  }
  return result_;
}

void Model::start_process(std::size_t index) {
  auto& controller = controllers_[index];
  std::vector<ControllerName> peers;
  for (std::size_t peer = 0; peer < kControllers; ++peer)
    if (peer != index) peers.push_back(name(peer));
  CancellationBarrier::Params params;
  params.read_lease = std::chrono::milliseconds(kReadLease);
  params.contact_timeout = std::chrono::milliseconds(1700);
  params.max_listed = options_.seed % 3 == 0 ? 2 : 128;
  auto started = clock(controller);
  if (options_.mistake == Mistake::kReadLeaseForgotten) started -= 2 * params.read_lease;
  controller.barrier = std::make_unique<CancellationBarrier>(params, peers, started);
  controller.sequence = static_cast<std::uint64_t>(now_ + controller.offset) << 16;
  controller.view.clear();
  controller.stopped.clear();
  controller.ready = false;
  controller.read_until = {};
  controller.up_to_date_at = {};
  controller.read.reset();
  controller.sent.clear();
  controller.heartbeat_due = {};
  controller.next_heartbeat = controller.next_read = now_;
}

bool Model::state_answers(std::size_t index) const {
  return std::none_of(faults_.begin(), faults_.end(), [&](const Fault& fault) {
    return is_active(fault) &&
           (fault.kind == Kind::kOutage || (fault.kind == Kind::kStateCut && fault.controller == index));
  });
}

std::optional<Ms> Model::held_until(std::size_t from, std::size_t to) const {
  for (const auto& fault : faults_) {
    if (!is_active(fault) || fault.controller != from || fault.other != to) continue;
    if (fault.kind == Kind::kLinkDrop) return kLength;
    if (fault.kind == Kind::kLinkHold) return fault.until;
  }
  return std::nullopt;
}

void Model::step(std::size_t index) {
  auto& controller = controllers_[index];
  for (const auto& fault : faults_) {
    if (fault.controller != index || fault.from != now_) continue;
    if (fault.kind == Kind::kEnd) end_process(index, fault.until);
    if (fault.kind == Kind::kFreeze) controller.frozen_until = std::max(controller.frozen_until, fault.until);
    if (fault.kind == Kind::kReload)
      controller.view.clear(), controller.ready = false, controller.read.reset();
  }
  if (controller.read && !controller.read->taken && now_ >= controller.read->snapshot) {
    controller.read->taken = true;
    controller.read->refused = !state_answers(index);
    controller.read->seen = ends_.size();
  }
  if (now_ < controller.down_until || now_ < controller.frozen_until) return;
  if (!controller.barrier) start_process(index), ++result_.restarts;
  receive(index);
  read(controller);
  send_heartbeats(index);
}

void Model::end_process(std::size_t index, Ms until) {
  controllers_[index].down_until = until;
  controllers_[index].frozen_until = 0;
  controllers_[index].barrier.reset();
  std::erase_if(writing_, [&](const auto& answer) { return answer.first == index; });
}

void Model::learn(Controller& controller, const protocol::CancelledJob& job) {
  if (!controller.view.insert(job).second) return;
  known_since_.emplace(job.revision, now_);
  if (!controller.ready) return;
  stop(controller, job);
  for (std::size_t peer = 0; peer < kControllers; ++peer)
    if (&controllers_[peer] != &controller &&
        controller.barrier->lacks_cancellations(name(peer), known(controller)))
      controller.heartbeat_due[peer] = true;
}

void Model::read(Controller& controller) {
  if (!controller.read) {
    if (now_ < controller.next_read) return;
    auto snapshot = now_ + between(0, 60);
    controller.read = Controller::Read{snapshot, snapshot + (chance(0.05) ? between(0, 800) : between(0, 40)),
                                       clock(controller)};
    return;
  }
  if (!controller.read->taken || now_ < controller.read->answer) return;
  auto finished = *controller.read;
  controller.read.reset();
  controller.next_read = now_ + kReadPeriod;
  if (finished.refused) return;
  for (auto position = controller.ready ? controller.read_until.value() : 0; position < finished.seen;
       ++position)
    learn(controller, ends_[position]);
  controller.read_until = std::max(controller.read_until, Revision(finished.seen));
  controller.up_to_date_at = finished.begun;
  controller.ready = true;
  for (const auto& job : controller.view) stop(controller, job);
}

void Model::receive(std::size_t index) {
  auto& controller = controllers_[index];
  std::vector<Message> mine;
  for (auto message = messages_.begin(); message != messages_.end();) {
    if (message->to != index || message->at > now_) {
      ++message;
      continue;
    }
    mine.push_back(std::move(*message));
    message = messages_.erase(message);
  }
  for (auto& message : mine) {
    auto& heartbeat = message.heartbeat;
    if (options_.mistake != Mistake::kAcknowledgedUnread)
      for (const auto& job : heartbeat.cancellation_sync->cancelled) learn(controller, job);
    if (options_.mistake == Mistake::kCountedFromReceipt && controller.sent.contains(heartbeat.echo))
      heartbeat.cancellation_sync->read_lease += std::chrono::duration_cast<std::chrono::milliseconds>(
          clock(controller) - controller.sent[heartbeat.echo]);
    if (controller.barrier->on_heartbeat(name(message.from), heartbeat, known(controller),
                                         clock(controller)) == CancellationBarrier::NextHeartbeat::kAtOnce)
      controller.heartbeat_due[message.from] = true;
  }
}

void Model::send_heartbeats(std::size_t index) {
  auto& controller = controllers_[index];
  bool all = now_ >= controller.next_heartbeat;
  if (all) controller.next_heartbeat = now_ + kHeartbeatPeriod;
  for (std::size_t peer = 0; peer < kControllers; ++peer)
    if (peer != index && (all || controller.heartbeat_due[peer])) send_heartbeat(index, peer);
}

void Model::send_heartbeat(std::size_t from, std::size_t to) {
  auto& controller = controllers_[from];
  controller.heartbeat_due[to] = false;
  protocol::Heartbeat heartbeat;
  heartbeat.sequence = ++controller.sequence;
  heartbeat.echo = controller.barrier->received(name(to));
  heartbeat.cancellation_sync =
      controller.barrier->outgoing(name(to), heartbeat.sequence, known(controller), clock(controller));
  controller.sent[heartbeat.sequence] = clock(controller);
  if (options_.mistake == Mistake::kNotReadyCountedAsReady)
    heartbeat.cancellation_sync->ready = heartbeat.cancellation_sync->complete = true;
  if (options_.mistake == Mistake::kAlwaysComplete)
    heartbeat.cancellation_sync->complete = heartbeat.cancellation_sync->ready;
  auto at = now_ + between(1, 10);
  if (auto until = held_until(from, to)) at = std::max(at, *until);
  if (!options_.state_only) {
    if (chance(0.03)) return;
    if (chance(0.05)) at += between(0, 1500);
    if (chance(0.03)) messages_.push_back({from, to, at + between(500, 120'000), heartbeat});
  }
  messages_.push_back({from, to, at, std::move(heartbeat)});
}

void Model::let_users_act() {
  for (std::size_t position = 0; position < writing_.size();) {
    auto [index, acknowledged] = writing_[position];
    if (now_ < acknowledged.at) {
      ++position;
      continue;
    }
    on_acknowledged(acknowledged);
    writing_.erase(writing_.begin() + static_cast<std::ptrdiff_t>(position));
  }
  if (chance(0.03)) cancel(any_controller());
  for (auto& asked : asked_) {
    if (now_ < asked.next) continue;
    asked.next = now_ + between(900, 1300);
    ask(any_controller(), asked);
  }
  std::erase_if(asked_, [&](const Asked& asked) {
    return asked.acknowledgements >= 3 || now_ > asked.written + 60'000;
  });
}

void Model::cancel(std::size_t index) {
  auto& controller = controllers_[index];
  if (!is_serving(index) || !controller.ready || !state_answers(index)) return;
  protocol::CancelledJob job{Revision(ends_.size() + 1), JobId("run-" + std::to_string(ends_.size() + 1)), 0};
  ends_.push_back(job);
  asked_.push_back({job, now_, now_ + between(900, 1300)});
  // The answer to the transaction may be lost.
  if (chance(0.1)) return;
  learn(controller, job);
  ask(index, asked_.back());
}

void Model::ask(std::size_t index, Asked& asked) {
  auto& controller = controllers_[index];
  if (!is_serving(index) || !controller.view.contains(asked.job)) return;
  bool may = controller.barrier->may_reveal(asked.job, known(controller), clock(controller));
  if (options_.mistake == Mistake::kAcknowledgedAtOnce) may = controller.ready;
  ++(may ? result_.acknowledged : result_.refused);
  if (!may) return;
  ++asked.acknowledgements;
  Acknowledged acknowledged{static_cast<std::size_t>(asked.job.revision.value()), now_};
  if (!options_.state_only && chance(0.01)) {
    // The process pauses after it has checked and before the answer goes out.
    controller.frozen_until = now_ + between(500, 2 * kReadLease);
    acknowledged.at = controller.frozen_until;
    writing_.emplace_back(index, acknowledged);
    return;
  }
  on_acknowledged(acknowledged);
  if (!options_.state_only && chance(0.005))
    end_process(index, now_ + (chance(0.6) ? between(100, 900) : 2 * kReadLease));
}

void Model::on_acknowledged(const Acknowledged& acknowledged) {
  if (is_acknowledged_.size() <= acknowledged.revision) is_acknowledged_.resize(acknowledged.revision + 64);
  if (is_acknowledged_[acknowledged.revision]) return;
  is_acknowledged_[acknowledged.revision] = true;
  acknowledged_.push_back(acknowledged);
  result_.slowest_acknowledgement =
      std::max(result_.slowest_acknowledgement, now_ - known_since_.at(Revision(acknowledged.revision)));
  for (auto& controller : controllers_)
    result_.acknowledged_unknown += controller.barrier && !has_stopped(controller, acknowledged.revision);
}

void Model::check_rules() {
  for (std::size_t index = 0; index < kControllers; ++index) {
    if (!is_serving(index)) continue;
    auto& controller = controllers_[index];
    auto by_peers = controller.barrier->known_until(controller.ready, clock(controller));
    auto known_until = by_peers ? std::max(controller.up_to_date_at, *by_peers) : controller.up_to_date_at;
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(clock(controller) - known_until).count();
    if (now_ > 5000) result_.oldest_knowledge = std::max<Ms>(result_.oldest_knowledge, age);
    if (age > kAnswerLimit || !result_.broken.empty()) continue;
    for (const auto& acknowledged : acknowledged_)
      if (now_ > acknowledged.at + kBroken && !has_stopped(controller, acknowledged.revision))
        result_.broken = "ran_cancelled: controller " + std::to_string(index) + " answers at " +
                         std::to_string(now_) + ", job " + std::to_string(acknowledged.revision) +
                         " acknowledged at " + std::to_string(acknowledged.at);
  }
}

// A shard leader that is refused by the state store, which then fails for all, and faults at any time around
// that.
void Model::plan_faults() {
  auto step = [](Ms time) { return time - time % kStep; };
  auto leader = any_controller();
  auto other = (leader + static_cast<std::size_t>(between(1, 2))) % kControllers;
  auto gap = between(40'000, 60'000);
  auto open = between(1000, 20'000);  // the others still write
  add(Kind::kStateCut, gap, 100'000, leader);
  add(Kind::kOutage, gap + open, between(30'000, 80'000));
  if (options_.state_only) return;
  auto link = [&](Ms from, Ms length, std::size_t first, std::size_t second) {
    auto kind = chance(0.5) ? Kind::kLinkDrop : Kind::kLinkHold;
    if (chance(0.9)) add(kind, from, length, first, second);
    if (chance(0.9)) add(kind, from, length, second, first);
  };
  auto partition = gap + between(-5000, open);
  if (chance(0.7)) {
    auto length = chance(0.3) ? between(1000, 15'000) : between(30'000, 90'000);
    bool from_all = chance(0.8);
    for (std::size_t peer = 0; peer < kControllers; ++peer)
      if (peer != leader && (peer == other || from_all)) link(partition, length, leader, peer);
  }
  auto down = [&] { return chance(0.6) ? between(100, 900) : between(1000, 3 * kReadLease); };
  // The other one ends just as the leader is partitioned from it, or at any time of the gap.
  if (chance(0.7))
    add(Kind::kEnd, step(chance(0.5) ? partition + between(0, 2000) : gap + between(0, open + 10'000)),
        down(), other);
  for (auto remaining = between(0, 5); remaining > 0; --remaining) {
    auto from = step(between(5000, kLength - 60'000));
    auto first = any_controller();
    auto second = (first + static_cast<std::size_t>(between(1, 2))) % kControllers;
    switch (between(0, 4)) {
      case 0:
        add(Kind::kEnd, from, down(), first);
        break;
      case 1:
        add(Kind::kFreeze, from, between(500, 2 * kReadLease), first);
        break;
      case 2:
        add(Kind::kReload, from, kStep, first);
        break;
      case 3:
        add(Kind::kStateCut, from, between(2000, 60'000), first);
        break;
      default:
        link(from, between(500, 60'000), first, second);
    }
  }
}

}  // namespace beaconsill::model
