// Drawn schedules: which troubles meet, and how long each lasts.
#include "sim/controller.h"
#include "sim/troubles.h"

namespace beaconsill::sim {
namespace {
constexpr double kFirstMeeting = 12;
constexpr double kTogether = 4;  // the troubles of a meeting begin within so many seconds
}  // namespace

void Troubles::draw_meetings(double end) {
  auto& q = env_.queue;
  over_ = std::max(over_, end);
  int kinds_drawn = env_.options.operations ? kTroubleKinds : kTroubleKindsBeforeOperations;
  for (double t = kFirstMeeting; t < end; t += q.uniform(8, 26)) {
    int kinds = 2 + q.draw_below(2);
    for (int i = 0; i < kinds; ++i) {
      auto trouble = draw(static_cast<TroubleKind>(q.draw_below(kinds_drawn)));
      trouble.at_s = t + q.uniform(0, kTogether);
      add(trouble);
    }
  }
}

Trouble Troubles::draw(TroubleKind kind) {
  auto& q = env_.queue;
  Trouble t;
  t.kind = kind;
  t.for_s = q.uniform(4, 25);
  t.share = q.uniform(0.1, 0.6);
  t.lease = q.chance(0.5);
  t.who = q.chance(0.5) ? Who::leader() : Who::drawn();
  t.which = q.chance(0.3) ? Which::in_zone(zones()[static_cast<std::size_t>(q.draw_below(3))])
                          : Which::drawn(1 + q.draw_below(4));
  t.zone = zones()[static_cast<std::size_t>(q.draw_below(3))];
  t.count = 1 + q.draw_below(6);
  switch (kind) {
    case TroubleKind::kNodeEnds: {
      constexpr double kBack[] = {0.1, 0.15, 1, 3, 13};
      t.for_s = kBack[q.draw_below(5)];
      if (q.chance(0.25)) t.who = Who::all();
      break;
    }
    case TroubleKind::kNodeStandsStill:
      t.for_s = q.uniform(1, 12);
      if (q.chance(0.7))
        t.await = static_cast<Await>(q.draw_below(static_cast<int>(Await::kUserRequest) + 1));
      break;
    case TroubleKind::kLeadersChange:
      t.for_s = q.uniform(15, 40);
      t.period_s = q.uniform(6, 13);
      break;
    case TroubleKind::kStateOutage:
      t.for_s = q.chance(0.25) ? kCancelLimit + q.uniform(0, 15) : q.uniform(3, 15);
      break;
    case TroubleKind::kMachineHangs:
      t.for_s = q.uniform(1, 30);
      break;
    case TroubleKind::kZoneCut:
      t.for_s = q.uniform(4, 2 * kLease);
      break;
    case TroubleKind::kOneTaskJobs:
      t.for_s = q.uniform(5, 15);
      break;
    case TroubleKind::kMistakenJobs:
      t.for_s = q.uniform(5, 60);
      break;
    case TroubleKind::kNodeSilent:
      t.for_s = q.uniform(60, 80);
      break;
    case TroubleKind::kCancelNow:
      if (q.chance(0.3)) t.for_s = 0;
      break;
    default:
      break;
  }
  return t;
}

}  // namespace beaconsill::sim
