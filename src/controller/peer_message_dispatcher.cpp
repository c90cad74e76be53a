#include "controller/peer_message_dispatcher.h"

#include <utility>
#include <variant>

namespace beaconsill::controller {

void PeerMessageDispatcher::dispatch(const protocol::PeerMessage& message) {
  std::visit([&](const auto& payload) { handle(message.from, payload); }, message.payload);
}

void PeerMessageDispatcher::handle(const ControllerName& /*from*/, const protocol::Heartbeat& heartbeat) {
  shards_.on_peer_terms(heartbeat.terms);
}

void PeerMessageDispatcher::handle(const ControllerName& /*from*/,
                                   const protocol::ChangeNotification& notification) {
  ctx_.watch_cache->on_remote_change(notification.revision);
}

void PeerMessageDispatcher::handle(const ControllerName& from, const protocol::EstimateRequest& request) {
  shards_.on_estimate_request(
      request, [&](protocol::EstimateResponse response) { messenger_.send(from, std::move(response)); });
}

void PeerMessageDispatcher::handle(const ControllerName& /*from*/,
                                   const protocol::EstimateResponse& response) {
  scheduler_.on_estimate_response(response);
}

void PeerMessageDispatcher::handle(const ControllerName& from, const protocol::Summary& page) {
  summaries_.on_page(from, page);
}

void PeerMessageDispatcher::handle(const ControllerName& /*from*/, const protocol::ReleaseMachines& release) {
  shards_.on_release_machines(release.machines);
}

void PeerMessageDispatcher::handle(const ControllerName& /*from*/,
                                   const protocol::TerminatedMachines& terminated) {
  shards_.on_machines_terminated(terminated.machines);
}

void PeerMessageDispatcher::handle(const ControllerName& from, const protocol::RelayedHeartbeat& relayed) {
  shards_.heartbeats().on_relayed_heartbeat(from, relayed);
}

void PeerMessageDispatcher::handle(const ControllerName& /*from*/, const protocol::RelayedReply& relayed) {
  shards_.heartbeats().on_relayed_reply(relayed);
}

void PeerMessageDispatcher::handle(const ControllerName& /*from*/, const protocol::ProgressReport& report) {
  scheduler_.on_progress_report(report);
}

}  // namespace beaconsill::controller
