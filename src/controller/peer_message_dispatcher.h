// Dispatches the messages of other controllers to the components that handle them.
#pragma once

#include "controller/controller_context.h"
#include "controller/peer_messenger.h"
#include "controller/scheduler_service.h"
#include "controller/shard_service.h"
#include "controller/summary_exchange.h"
#include "protocol/peer.h"

namespace beaconsill::controller {

// Methods don't throw. Single-threaded.
class PeerMessageDispatcher {
 public:
  PeerMessageDispatcher(ControllerContext& ctx, PeerMessenger& messenger, ShardService& shards,
                        SchedulerService& scheduler, SummaryExchange& summaries)
      : ctx_(ctx), messenger_(messenger), shards_(shards), scheduler_(scheduler), summaries_(summaries) {}
  void dispatch(const protocol::PeerMessage& message);

 private:
  // There is one overload for each alternative of protocol::PeerPayload.
  void handle(const ControllerName& from, const protocol::Heartbeat& heartbeat);
  void handle(const ControllerName& from, const protocol::ChangeNotification& notification);
  void handle(const ControllerName& from, const protocol::EstimateRequest& request);
  void handle(const ControllerName& from, const protocol::EstimateResponse& response);
  void handle(const ControllerName& from, const protocol::Summary& page);
  void handle(const ControllerName& from, const protocol::ReleaseMachines& release);
  void handle(const ControllerName& from, const protocol::TerminatedMachines& terminated);
  void handle(const ControllerName& from, const protocol::RelayedHeartbeat& relayed);
  void handle(const ControllerName& from, const protocol::RelayedReply& relayed);
  void handle(const ControllerName& from, const protocol::ProgressReport& report);

  ControllerContext& ctx_;
  PeerMessenger& messenger_;
  ShardService& shards_;
  SchedulerService& scheduler_;
  SummaryExchange& summaries_;
};

}  // namespace beaconsill::controller
