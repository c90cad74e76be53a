// Case 1: a task that saves its checkpoint because it was preempted is not ended when its user cancels the job.
#include "lab.h"

int main(int argc, char** argv) {
  using namespace lab;
  const auto arguments = parse_arguments(argc, argv);
  if (!arguments) return kCouldNotRun;
  Options options;
  options.command = arguments->command;
  options.folder = arguments->folder;
  options.record = arguments->record;
  options.types = {{"kiboko-small", 4, 0, 16, 50, 1, 0.21, 0.06, 25, {"dar-hall", "moshi-vault"}}};
  Deployment deployment(options);
  auto& loop = deployment.loop;
  loop.log(arguments->trouble ? "with the preemption" : "TROUBLE=0: without the preemption");
  // One machine in each zone; the cloud has no more of them.
  deployment.cloud->add("kiboko-small", "dar-hall", false);
  deployment.cloud->add("kiboko-small", "moshi-vault", false);
  deployment.start_controllers();
  if (!deployment.wait_until_up(20) || !deployment.wait_until_settled(30)) return kCouldNotRun;
  loop.run_for(2);

  // A batch job that saves checkpoints fills both machines. A task needs 60 s to save.
  const std::string batch = "run-000001", service = "run-000002";
  auto spec = job(batch, "batch", "best_effort", 8);
  spec["reckonS"] = 300.0;
  spec["markS"] = 10.0;
  spec["stowS"] = 60.0;
  if (!deployment.submit(spec, 300, 0)) return kCouldNotRun;
  if (!loop.run_until([&] { return deployment.count(batch, "running") == 8; }, 20)) return kCouldNotRun;
  loop.run_for(3);
  if (arguments->trouble) {
    // Work of a higher priority that fits only if a task of the batch job is stopped.
    if (!deployment.submit(job(service, "daemon", "production", 1), std::nullopt, 0)) return kCouldNotRun;
    if (!loop.run_until([&] { return deployment.count(batch, "saving") == 1; }, 15)) return kCouldNotRun;
    loop.run_for(1);
  }
  // The user cancels the batch job.
  std::optional<double> told;
  deployment.ask("/v1/jobs/" + batch + "/withdraw", "", [] { return std::size_t{1}; }, [&](const HttpAnswer& answer) {
    if (answer.status == 200 && answer.body.value("bearing", "") == "withdrawn") told = loop.now();
  });
  if (!loop.run_until([&] { return told.has_value(); }, 20)) return kCouldNotRun;
  loop.log("the user was told that " + batch + " is cancelled");
  loop.run_until([&] { return deployment.count(batch, "running") + deployment.count(batch, "saving") == 0; },
                 options.cancel_s + 10);
  if (deployment.any_ended()) return kCouldNotRun;
  // ran_cancelled: more than cancel_s after its user was told, a task is on a machine or starts.
  bool broken = false;
  for (const auto& stay : deployment.ledger.stays) {
    if (!stay.task.starts_with(batch + '/')) continue;
    const double until = stay.off_at.value_or(loop.now());
    if (until - *told <= options.cancel_s) continue;
    broken = true;
    loop.log("ran_cancelled: " + stay.task + " was on " + stay.machine + " until " + std::to_string(until - *told) +
             " s after the answer" + (stay.off_at ? "" : ", and still is"));
  }
  loop.log(broken ? "result: broken" : "result: held");
  return broken ? kBroken : kHeld;
}
