#include "cancellation_barrier_model.h"

#include <algorithm>

namespace beaconsill::model {
namespace {

constexpr Ms kStep = 20;
constexpr Ms kDuration = 240'000;
constexpr Ms kHeartbeatPeriod = 500;
constexpr Ms kReadPeriod = 400;
constexpr Ms kLease = 17'500;
constexpr Ms kCancelLimit = 47'500;
constexpr Ms kReadLease = (kCancelLimit - kLease) / 4;
// A controller answers no worker heartbeats if its knowledge of cancellations is older than this.
constexpr Ms kMaxKnowledgeAge = kCancelLimit - kLease - 1000;
// Invariant: a shard leader that does not know of an acknowledged cancellation answers worker heartbeats for
// no longer than this after the acknowledgement.
constexpr Ms kMaxAnswerTimeAfterAcknowledgement = kCancelLimit - kLease - 500;

}  // namespace

Result Model::run() {
  for (now_ = 0; now_ < kDuration; now_ += kStep) {
    for (std::size_t index = 0; index < kControllers; ++index) step(index);
    simulate_users();
    check_invariants();
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
  if (options_.seeded_bug == SeededBug::kForgetsReadLeasesOnRestart) started -= 2 * params.read_lease;
  controller.barrier = std::make_unique<CancellationBarrier>(params, peers, started);
  controller.sequence = static_cast<std::uint64_t>(now_ + controller.clock_offset) << 16;
  controller.view.clear();
  controller.stopped_jobs.clear();
  controller.ready = false;
  controller.read_until = {};
  controller.up_to_date_at = {};
  controller.read.reset();
  controller.sent.clear();
  controller.heartbeat_due = {};
  controller.next_heartbeat = controller.next_read = now_;
}

bool Model::state_store_answers(std::size_t index) const {
  return std::none_of(faults_.begin(), faults_.end(), [&](const Fault& fault) {
    return is_active(fault) && (fault.kind == FaultKind::kStateStoreOutage ||
                                (fault.kind == FaultKind::kStateStorePartition && fault.controller == index));
  });
}

std::optional<Ms> Model::delayed_until(std::size_t from, std::size_t to) const {
  for (const auto& fault : faults_) {
    if (!is_active(fault) || fault.controller != from || fault.other != to) continue;
    if (fault.kind == FaultKind::kLinkDrop) return kDuration;
    if (fault.kind == FaultKind::kLinkDelay) return fault.until;
  }
  return std::nullopt;
}

void Model::step(std::size_t index) {
  auto& controller = controllers_[index];
  for (const auto& fault : faults_) {
    if (fault.controller != index || fault.from != now_) continue;
    if (fault.kind == FaultKind::kCrash) crash_process(index, fault.until);
    if (fault.kind == FaultKind::kPause)
      controller.paused_until = std::max(controller.paused_until, fault.until);
    if (fault.kind == FaultKind::kReloadView)
      controller.view.clear(), controller.ready = false, controller.read.reset();
  }
  if (controller.read && !controller.read->snapshot_taken && now_ >= controller.read->snapshot_at) {
    controller.read->snapshot_taken = true;
    controller.read->refused = !state_store_answers(index);
    controller.read->record_count = cancellation_records_.size();
  }
  if (now_ < controller.down_until || now_ < controller.paused_until) return;
  if (!controller.barrier) start_process(index), ++result_.restarts;
  receive(index);
  read_state_store(controller);
  send_heartbeats(index);
}

void Model::crash_process(std::size_t index, Ms until) {
  controllers_[index].down_until = until;
  controllers_[index].paused_until = 0;
  controllers_[index].barrier.reset();
  std::erase_if(delayed_acknowledgements_, [&](const auto& answer) { return answer.first == index; });
}

void Model::add_cancellation(Controller& controller, const protocol::CancelledJob& job) {
  if (!controller.view.insert(job).second) return;
  known_since_.emplace(job.revision, now_);
  if (!controller.ready) return;
  stop_job(controller, job);
  for (std::size_t peer = 0; peer < kControllers; ++peer)
    if (&controllers_[peer] != &controller &&
        controller.barrier->lacks_cancellations(name(peer), known(controller)))
      controller.heartbeat_due[peer] = true;
}

void Model::read_state_store(Controller& controller) {
  if (!controller.read) {
    if (now_ < controller.next_read) return;
    auto snapshot = now_ + random_between(0, 60);
    controller.read = Controller::Read{
        snapshot, snapshot + (random_bool(0.05) ? random_between(0, 800) : random_between(0, 40)),
        clock(controller)};
    return;
  }
  if (!controller.read->snapshot_taken || now_ < controller.read->answer_at) return;
  auto finished = *controller.read;
  controller.read.reset();
  controller.next_read = now_ + kReadPeriod;
  if (finished.refused) return;
  for (auto position = controller.ready ? controller.read_until.value() : 0; position < finished.record_count;
       ++position)
    add_cancellation(controller, cancellation_records_[position]);
  controller.read_until = std::max(controller.read_until, Revision(finished.record_count));
  controller.up_to_date_at = finished.started_at;
  controller.ready = true;
  for (const auto& job : controller.view) stop_job(controller, job);
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
    if (options_.seeded_bug != SeededBug::kAcknowledgesWithoutApplying)
      for (const auto& job : heartbeat.cancellation_sync->cancelled) add_cancellation(controller, job);
    if (options_.seeded_bug == SeededBug::kCountsReadLeaseFromReceipt &&
        controller.sent.contains(heartbeat.echo))
      heartbeat.cancellation_sync->read_lease += std::chrono::duration_cast<std::chrono::milliseconds>(
          clock(controller) - controller.sent[heartbeat.echo]);
    if (controller.barrier->on_heartbeat(name(message.from), heartbeat, known(controller),
                                         clock(controller)) == CancellationBarrier::NextHeartbeat::kImmediate)
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
  heartbeat.echo = controller.barrier->last_received_sequence(name(to));
  heartbeat.cancellation_sync =
      controller.barrier->prepare_sync(name(to), heartbeat.sequence, known(controller), clock(controller));
  controller.sent[heartbeat.sequence] = clock(controller);
  if (options_.seeded_bug == SeededBug::kClaimsCompleteBeforeReady)
    heartbeat.cancellation_sync->ready = heartbeat.cancellation_sync->complete = true;
  if (options_.seeded_bug == SeededBug::kClaimsPartialListComplete)
    heartbeat.cancellation_sync->complete = heartbeat.cancellation_sync->ready;
  auto at = now_ + random_between(1, 10);
  if (auto until = delayed_until(from, to)) at = std::max(at, *until);
  if (!options_.only_state_store_faults) {
    if (random_bool(0.03)) return;
    if (random_bool(0.05)) at += random_between(0, 1500);
    if (random_bool(0.03)) messages_.push_back({from, to, at + random_between(500, 120'000), heartbeat});
  }
  messages_.push_back({from, to, at, std::move(heartbeat)});
}

void Model::simulate_users() {
  for (std::size_t position = 0; position < delayed_acknowledgements_.size();) {
    auto [index, acknowledgement] = delayed_acknowledgements_[position];
    if (now_ < acknowledgement.at) {
      ++position;
      continue;
    }
    on_acknowledged(acknowledgement);
    delayed_acknowledgements_.erase(delayed_acknowledgements_.begin() +
                                    static_cast<std::ptrdiff_t>(position));
  }
  if (random_bool(0.03)) cancel_new_job(random_controller());
  for (auto& request : cancel_requests_) {
    if (now_ < request.next_query) continue;
    request.next_query = now_ + random_between(900, 1300);
    query(random_controller(), request);
  }
  std::erase_if(cancel_requests_, [&](const CancelRequest& request) {
    return request.acknowledgements >= 3 || now_ > request.written + 60'000;
  });
}

void Model::cancel_new_job(std::size_t index) {
  auto& controller = controllers_[index];
  if (!is_serving(index) || !controller.ready || !state_store_answers(index)) return;
  protocol::CancelledJob job{Revision(cancellation_records_.size() + 1),
                             JobId("run-" + std::to_string(cancellation_records_.size() + 1)), 0};
  cancellation_records_.push_back(job);
  cancel_requests_.push_back({job, now_, now_ + random_between(900, 1300)});
  // The response to the transaction may be lost.
  if (random_bool(0.1)) return;
  add_cancellation(controller, job);
  query(index, cancel_requests_.back());
}

void Model::query(std::size_t index, CancelRequest& request) {
  auto& controller = controllers_[index];
  if (!is_serving(index) || !controller.view.contains(request.job)) return;
  bool may_reveal = controller.barrier->may_reveal(request.job, known(controller), clock(controller));
  if (options_.seeded_bug == SeededBug::kAcknowledgesImmediately) may_reveal = controller.ready;
  ++(may_reveal ? result_.acknowledged : result_.refused);
  if (!may_reveal) return;
  ++request.acknowledgements;
  Acknowledgement acknowledgement{static_cast<std::size_t>(request.job.revision.value()), now_};
  if (!options_.only_state_store_faults && random_bool(0.01)) {
    // The process pauses after the check and before it sends the answer.
    controller.paused_until = now_ + random_between(500, 2 * kReadLease);
    acknowledgement.at = controller.paused_until;
    delayed_acknowledgements_.emplace_back(index, acknowledgement);
    return;
  }
  on_acknowledged(acknowledgement);
  if (!options_.only_state_store_faults && random_bool(0.005))
    crash_process(index, now_ + (random_bool(0.6) ? random_between(100, 900) : 2 * kReadLease));
}

void Model::on_acknowledged(const Acknowledgement& acknowledgement) {
  if (is_acknowledged_.size() <= acknowledgement.revision)
    is_acknowledged_.resize(acknowledgement.revision + 64);
  if (is_acknowledged_[acknowledgement.revision]) return;
  is_acknowledged_[acknowledgement.revision] = true;
  acknowledgements_.push_back(acknowledgement);
  result_.max_acknowledgement_delay =
      std::max(result_.max_acknowledgement_delay, now_ - known_since_.at(Revision(acknowledgement.revision)));
  for (auto& controller : controllers_)
    result_.acknowledged_while_unknown +=
        controller.barrier && !has_stopped(controller, acknowledgement.revision);
}

void Model::check_invariants() {
  for (std::size_t index = 0; index < kControllers; ++index) {
    if (!is_serving(index)) continue;
    auto& controller = controllers_[index];
    auto by_peers = controller.barrier->known_until(controller.ready, clock(controller));
    auto known_until = by_peers ? std::max(controller.up_to_date_at, *by_peers) : controller.up_to_date_at;
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(clock(controller) - known_until).count();
    if (now_ > 5000) result_.max_knowledge_age = std::max<Ms>(result_.max_knowledge_age, age);
    if (age > kMaxKnowledgeAge || !result_.violation.empty()) continue;
    for (const auto& acknowledgement : acknowledgements_)
      if (now_ > acknowledgement.at + kMaxAnswerTimeAfterAcknowledgement &&
          !has_stopped(controller, acknowledgement.revision))
        result_.violation = "ran_cancelled: controller " + std::to_string(index) + " answers at " +
                            std::to_string(now_) + ", job " + std::to_string(acknowledgement.revision) +
                            " acknowledged at " + std::to_string(acknowledgement.at);
  }
}

// One shard leader is cut off from the state store, which later fails for all controllers. Other faults are
// placed at random times around that.
void Model::plan_faults() {
  auto step = [](Ms time) { return time - time % kStep; };
  auto leader = random_controller();
  auto other = (leader + static_cast<std::size_t>(random_between(1, 2))) % kControllers;
  auto cut_off_at = random_between(40'000, 60'000);
  auto outage_delay = random_between(1000, 20'000);  // the other controllers can still write
  add_fault(FaultKind::kStateStorePartition, cut_off_at, 100'000, leader);
  add_fault(FaultKind::kStateStoreOutage, cut_off_at + outage_delay, random_between(30'000, 80'000));
  if (options_.only_state_store_faults) return;
  auto link = [&](Ms from, Ms length, std::size_t first, std::size_t second) {
    auto kind = random_bool(0.5) ? FaultKind::kLinkDrop : FaultKind::kLinkDelay;
    if (random_bool(0.9)) add_fault(kind, from, length, first, second);
    if (random_bool(0.9)) add_fault(kind, from, length, second, first);
  };
  auto partition = cut_off_at + random_between(-5000, outage_delay);
  if (random_bool(0.7)) {
    auto length = random_bool(0.3) ? random_between(1000, 15'000) : random_between(30'000, 90'000);
    bool from_all = random_bool(0.8);
    for (std::size_t peer = 0; peer < kControllers; ++peer)
      if (peer != leader && (peer == other || from_all)) link(partition, length, leader, peer);
  }
  auto down = [&] {
    return random_bool(0.6) ? random_between(100, 900) : random_between(1000, 3 * kReadLease);
  };
  // The other controller crashes shortly after the leader is partitioned from it, or at a random time from
  // the leader's loss of the state store on.
  if (random_bool(0.7))
    add_fault(FaultKind::kCrash,
              step(random_bool(0.5) ? partition + random_between(0, 2000)
                                    : cut_off_at + random_between(0, outage_delay + 10'000)),
              down(), other);
  for (auto remaining = random_between(0, 5); remaining > 0; --remaining) {
    auto from = step(random_between(5000, kDuration - 60'000));
    auto first = random_controller();
    auto second = (first + static_cast<std::size_t>(random_between(1, 2))) % kControllers;
    switch (random_between(0, 4)) {
      case 0:
        add_fault(FaultKind::kCrash, from, down(), first);
        break;
      case 1:
        add_fault(FaultKind::kPause, from, random_between(500, 2 * kReadLease), first);
        break;
      case 2:
        add_fault(FaultKind::kReloadView, from, kStep, first);
        break;
      case 3:
        add_fault(FaultKind::kStateStorePartition, from, random_between(2000, 60'000), first);
        break;
      default:
        link(from, random_between(500, 60'000), first, second);
    }
  }
}

}  // namespace beaconsill::model
