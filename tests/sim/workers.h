// Stand-ins of the workers: they report, obey, and let their tasks run.
#pragma once

#include <functional>

#include "part/part.h"
#include "sim/books.h"
#include "sim/cloud.h"
#include "sim/network.h"
#include "sim/rules.h"

namespace beaconsill::sim {

// A controller's answer to a report: that of the part's owner, or where to go instead.
struct ReportReply {
  std::optional<part::Part::ReportAnswer> answer;
  int redirect = -1;  // -1: unknown
};

// What comes back from a direct command.
struct CommandReply {
  bool executed = false;
  wire::Report report;
};

class Workers {
 public:
  using Answer = std::function<ReportReply(int node, const wire::Report&)>;
  Workers(EventQueue& queue, Network& network, Books& books, Rules& rules, Outcome& outcome,
          const Options& options, Answer answer);

  // A new worker begins to report.
  void on_added(const MachineName& m);
  // Lets everything happen that is due on the machines.
  void advance_all();
  // Direct commands; `done` gets none if there was no answer.
  void command(const part::Part::Batch& b, std::function<void(std::optional<CommandReply>)> done);

 private:
  wire::Report compose(Machine& m);
  void advance(Machine& m);
  void report(const MachineName& name);
  void copy_later(const wire::Report& r);
  void report_over(const MachineName& name, double wait, int next_node);
  void on_reply(const MachineName& name, int node, double sent, std::uint64_t session,
                const ReportReply& reply);
  std::optional<CommandReply> carry_out(const part::Part::Batch& b);
  void obey(Machine& m, const wire::Command& c);

  EventQueue& queue_;
  Network& network_;
  Books& books_;
  Rules& rules_;
  Outcome& outcome_;
  const Options& options_;
  Answer answer_;
};

}  // namespace beaconsill::sim
