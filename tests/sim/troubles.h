// The troubles that a schedule consists of: drawn meetings of two or three, and those that a test sets.
#pragma once

#include <optional>
#include <vector>

#include "sim/environment.h"
#include "sim/users.h"

namespace beaconsill::sim {

// Each lasts for `for_s` where nothing else is said. `hold`: what is sent through a cut meanwhile is
// delivered afterwards; else it's refused.
enum class TroubleKind {
  // Controllers (`who`)
  kNodeEnds,                  // its next process begins after for_s
  kNodeStandsStill,           // does nothing; from its next callback of kind `await` on if that is set
  kLeadersChange,             // every period_s the leader ends, and comes back a second later
  kNodeCutFromState,          // hold
  kNodeCutFromPeers,          // hold
  kNodeCutFromStateAndPeers,  // it reaches its workers and users only; hold
  kNodeCut,                   // from state store, controllers, workers and users; hold
  kStateRefusesNode,          // the state store refuses it alone
  // State store
  kStateOutage,  // answers nobody
  kStateSlow,    // `share` of the messages take up to 1.2 s each way
  kLostAnswers,  // `share` of the transactions is carried out at once, only the answer is lost
  kLateWrites,   // `share` has no answer and is carried out 2 to 12 s later, after newer ones
  // Zones and messages
  kZoneCut,           // `zone`: nothing passes between it and everything else; hold
  kLostPeerMessages,  // `share` of the messages between controllers is lost
  kLatePeerMessages,  // `share` comes late, up to 40 s, and again
  kLateReports,       // of `share` of the reports a copy comes again, up to 25 s later, at any controller
  kReportsForNext,    // the same, but the copies wait for the next leader and reach every controller
  kLateCommands,      // `share` of direct commands is held up for 2 to 16 s, unanswered, then carried out
  // Machines (`which`)
  kMachineHangs,   // do nothing, and go on afterwards
  kMachineDeaf,    // reports arrive; answers and commands to them are lost
  kMachineMute,    // they reach no controller; commands reach them
  kMachineEnds,    // silently gone
  kQuickMachines,  // new machines are up within two seconds
  // Users
  kCancelNow,     // `count` jobs that run are cancelled within 0.2 s; up to eight of their machines hang for
                  // for_s
  kCancelAtEnd,   // `share` of the jobs that end is cancelled at that moment
  kCloseLooks,    // questions at all controllers within milliseconds after accept, end and cancellation
  kOddRequests,   // repeats, cancellations of what is over, jobs that can't run, unknown jobs
  kOneTaskJobs,   // four a second, a quarter of them cancelled
  kLimitsFilled,  // each team submits more than its limit, once
  // What the operators met, see Options::operations
  kMistakenJobs,   // `count` jobs that fail on every machine, each cancelled within for_s
  kPollStorm,      // users ask eight times as often
  kMachineFaulty,  // fail every task that they start (`which`)
  kLateMachines,   // new machines take up to a minute to come up
  kNodeSilent,     // a controller stands still for a minute and more (`who`)
};
constexpr int kTroubleKinds = static_cast<int>(TroubleKind::kNodeSilent) + 1;
constexpr int kTroubleKindsBeforeOperations = static_cast<int>(TroubleKind::kMistakenJobs);
const char* to_string(TroubleKind kind);

// Which controller a trouble is about, chosen when it comes.
struct Who {
  enum class Kind { kDrawn, kNumber, kLeader, kFollower, kAll };
  Kind kind = Kind::kDrawn;
  int number = 0;

  static Who drawn() { return {}; }
  static Who controller(int n) { return {Kind::kNumber, n}; }
  static Who leader() { return {Kind::kLeader, 0}; }
  // Some controller that doesn't lead.
  static Who follower() { return {Kind::kFollower, 0}; }
  static Who all() { return {Kind::kAll, 0}; }
};

// Which machines a trouble is about, chosen when it comes: all that match, or `count` drawn ones of them.
struct Which {
  std::optional<MachineName> name;
  std::optional<Zone> zone;
  std::optional<JobId> running;  // a task of this job is there
  int count = 0;                 // 0: all that match, or one if nothing is set

  static Which machine(MachineName m) { return {std::move(m), {}, {}, 0}; }
  static Which in_zone(Zone z, int n = 0) { return {{}, std::move(z), {}, n}; }
  static Which of_job(JobId j, int n = 0) { return {{}, {}, std::move(j), n}; }
  static Which drawn(int n = 1) { return {{}, {}, {}, n}; }
};

struct Trouble {
  double at_s = 0;
  TroubleKind kind = TroubleKind::kNodeEnds;
  double for_s = 0;
  Who who = {};
  Which which = {};
  std::optional<Zone> zone = {};
  double share = 1;
  int count = 1;
  double period_s = 12;
  bool lease = false;
  std::optional<Await> await = {};
};

class Troubles {
 public:
  Troubles(Environment& env, Books& books, Users& users) : env_(env), books_(books), users_(users) {}

  // Schedules it.
  void add(const Trouble& t);
  // Schedules meetings of two or three drawn kinds, each within seconds of the others, up to that time.
  void draw_meetings(double end);
  // When the last of the scheduled ones is over.
  double over() const { return over_; }
  // The leader as the state store has it; none while there is none.
  std::optional<int> leader() const;

 private:
  void begin(const Trouble& t);
  void begin_at_node(const Trouble& t, int controller);
  void begin_at_machine(const Trouble& t, Machine& m);
  void begin_in_state_service(const Trouble& t);
  void begin_with_messages(const Trouble& t);
  void begin_with_users(const Trouble& t);
  void change_leaders(const Trouble& t);
  void repeat(double until, double period, std::function<void()> f);
  std::vector<int> choose(const Who& who);
  std::vector<Machine*> choose(const Which& which);
  Trouble draw(TroubleKind kind);

  Environment& env_;
  Books& books_;
  Users& users_;
  double over_ = 0;
};

}  // namespace beaconsill::sim
