#include "sim/controller.h"

namespace beaconsill::sim {
namespace {
constexpr double kTick = 0.1;
constexpr double kBeat = 0.5;
constexpr double kReadPeriod = 0.4;
}  // namespace

void Controller::start() {
  p_ = Process{};
  env_.network.start(n_);
  env_.state.forget_hold(n_);
  tick();
  beat();
  sync([](bool) {});
}

void Controller::crash(double back_s) {
  if (!env_.network.up(n_)) return;
  p_ = Process{};
  env_.network.stop(n_);
  env_.queue.after(back_s, [this] {
    if (!env_.network.up(n_)) start();
  });
}

// Keeps its liveness key while its hold lasts; the stand-in of the state service drops it.
void Controller::beat() {
  env_.network.later(n_, kBeat, [this] { beat(); });
  env_.state.renew(n_, store::alive_key(name()));
}

void Controller::tick() {
  env_.network.later(n_, kTick, [this] { tick(); });
  if (now() - p_.word > kReadPeriod && !p_.syncing) sync([](bool) {});
  roles();
  if (p_.lead && !p_.lead_read) read_ledger();
  std::vector<PartId> ids;
  for (auto& [id, o] : p_.parts) ids.push_back(id);
  for (auto id : ids) tick_part(id);
  tick_lead();
}

void Controller::sync(std::function<void(bool)> done) {
  p_.waiting.push_back(std::move(done));
  if (p_.syncing) return;
  p_.syncing = true;
  auto served = std::make_shared<std::vector<std::function<void(bool)>>>(std::move(p_.waiting));
  p_.waiting.clear();
  double begun = now();
  auto finish = [this, served](bool ok) {
    p_.syncing = false;
    if (ok) on_view();
    for (auto& f : *served) f(ok);
    if (!p_.syncing && !p_.waiting.empty()) sync([](bool) {});
  };
  if (!env_.state.answers(n_)) return env_.network.later(n_, 0.05, [finish] { finish(false); });
  env_.state.read(n_, [this, begun, finish](std::size_t upto) {
    for (; p_.known < upto; ++p_.known) p_.view.apply(env_.state.log()[p_.known]);
    p_.word = begun;
    p_.ready = true;
    finish(true);
  });
}

void Controller::apply_own(const wire::Txn& t, Revision r) {
  for (const auto& w : t.writes) p_.view.apply({w.key, w.value, r});
  on_view();
}

void Controller::on_view() {
  auto touched = p_.view.take_touched();
  for (auto& [id, o] : p_.parts) {
    if (o.read && touched.machines.contains(id)) load_registry(id);
    for (const auto& j : touched.jobs) show(*o.part, j);
  }
  if (p_.lead) {
    auto jobs = touched.jobs;
    for (auto& j : p_.lead->on_terms(terms())) jobs.insert(j);
    for (const auto& j : jobs) p_.lead->on_job(j, p_.view.job(j), p_.view.end(j), instant());
  }
  if (touched.roles) roles();
}

}  // namespace beaconsill::sim
