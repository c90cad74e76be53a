// The users: they submit jobs, cancel some, ask for them, and remember what they were told.
#pragma once

#include <optional>
#include <vector>

#include "sim/books.h"
#include "sim/environment.h"

namespace beaconsill::sim {

enum class Ask { kSubmit, kStatus, kCancel };

// An answer to a user's request.
struct Answer {
  double sent_s = 0;
  double at_s = 0;
  int node = 0;
  JobId job;
  Ask ask = Ask::kSubmit;
  int status = 0;  // of HTTP; 0: no connection or no answer
  std::optional<wire::JobState> state;
};

class Users {
 public:
  Users(Environment& env, Books& books) : env_(env), books_(books) {}

  // ---- Drawn users
  // A drawn job is submitted at a drawn controller until it's accepted; some are cancelled later.
  void submit_drawn(int i);

  // ---- Scripted users. Each sends one request, now.
  void submit(int node, const wire::JobSpec& spec, std::optional<double> run_s);
  void poll(int node, const JobId& id);
  void cancel(int node, const JobId& id);
  const std::vector<Answer>& answers() const { return answers_; }

 private:
  wire::JobSpec drawn_spec(int i);
  void cancel_drawn(const JobId& id);
  void request(int node, const JobId& id, Ask ask);
  void on_answer(Answer a);

  Environment& env_;
  Books& books_;
  std::vector<Answer> answers_;
};

}  // namespace beaconsill::sim
