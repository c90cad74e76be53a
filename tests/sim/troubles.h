// The troubles that a schedule consists of: drawn ones, and those that a test sets.
#pragma once

#include <optional>
#include <vector>

#include "sim/environment.h"

namespace beaconsill::sim {

enum class TroubleKind {
  kNodeEnds,                  // controller; its next process begins after for_s
  kStateOutage,               // the state service answers nobody
  kStateRefusesNode,          // controller: the state service refuses it alone
  kNodeCutFromStateAndPeers,  // controller: it reaches its workers and users only
  kMachineHangs,              // machines: they do nothing, and go on afterwards
  kMachineDeaf,               // machines: reports arrive; answers and commands to them are lost
  kMachineEnds,               // machines: silently gone
};

// Which controller a trouble is about, chosen when it comes.
struct Who {
  enum class Kind { kDrawn, kNumber, kLeader, kFollower, kAll };
  Kind kind = Kind::kDrawn;
  int number = 0;

  static Who drawn() { return {}; }
  static Who node(int n) { return {Kind::kNumber, n}; }
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
};

class Troubles {
 public:
  Troubles(Environment& env, Books& books) : env_(env), books_(books) {}

  // Schedules it.
  void add(const Trouble& t);
  // Schedules drawn ones up to that time.
  void draw_until(double end);
  // When the last of the scheduled ones is over.
  double over() const { return over_; }
  // The leader as the state service has it; none while there is none.
  std::optional<int> leader() const;

 private:
  void begin(const Trouble& t);
  void begin_at(const Trouble& t, int node);
  void begin_at(const Trouble& t, Machine& m);
  void begin_drawn();
  std::vector<int> choose(const Who& who);
  std::vector<Machine*> choose(const Which& which);

  Environment& env_;
  Books& books_;
  double over_ = 0;
};

}  // namespace beaconsill::sim
