// Jobs that depend on others: their records, what follows from the terminal records of those, and how format
// versions with and without dependencies read each other's records.
#include <gtest/gtest.h>

#include "job_submission.h"
#include "state_store/state_view.h"
#include "state_store/value_sizes.h"

namespace beaconsill::state_store {
namespace {

using protocol::Json;

JobId run(std::size_t n) {
  return JobId("run-" + std::to_string(100000 + n));
}

Json submission() {
  // From text, as it comes: there a count is no signed number.
  return protocol::parse_json(job_json("run-000412", "batch", 3, "high"));
}

Json names(std::size_t n) {
  Json list = Json::array();
  for (std::size_t i = 0; i < n; ++i) list.push_back(run(i).value());
  return list;
}

TEST(DependencyRecords, BadInputIsRefused) {
  struct Case {
    const char* what;
    Json depends_on;
    std::optional<std::size_t> count;  // none: malformed
  };
  const Case cases[] = {
      {"none", Json(nullptr), 0},
      {"an empty list", Json::array(), 0},
      {"two", names(2), 2},
      {"hundreds", names(300), 300},
      {"as many as a request of 64 KiB can name", names(4600), 4600},
      {"a string", "run-000398", std::nullopt},
      {"an object", Json{{"run-000398", true}}, std::nullopt},
      {"a number", 7, std::nullopt},
      {"false", false, std::nullopt},
      {"a number in the list", {"run-000398", 398}, std::nullopt},
      {"null in the list", {"run-000398", nullptr}, std::nullopt},
      {"a list in the list", {{"run-000398"}}, std::nullopt},
      {"no job id", {"job-000398"}, std::nullopt},
      {"a task", {"run-000398/1"}, std::nullopt},
      {"an empty name", {""}, std::nullopt},
      {"the job itself", {"run-000398", "run-000412"}, std::nullopt},
      {"a repeated name", {"run-000398", "run-000405", "run-000398"}, std::nullopt},
  };
  for (const auto& c : cases) {
    Json j = submission();
    j["awaits"] = c.depends_on;
    if (!c.count) {
      EXPECT_THROW(protocol::parse_job(j), protocol::ProtocolError) << c.what;
      continue;
    }
    EXPECT_EQ(protocol::parse_job(j).depends_on.size(), *c.count) << c.what;
  }
  EXPECT_TRUE(protocol::parse_job(submission()).depends_on.empty());
}

JobRecord record(const JobId& id, std::vector<JobId> depends_on) {
  Json j = submission();
  j["ref"] = id.value();
  auto spec = protocol::parse_job(j);
  spec.depends_on = std::move(depends_on);
  return {std::make_shared<const protocol::JobSpec>(std::move(spec)), WallMs(5)};
}

// The value of a record, and of each key of dependencies, fits whatever their number.
TEST(DependencyRecords, RecordsFitAndSurviveTheRoundTrip) {
  struct Case {
    std::size_t dependency, max_bytes;
    std::size_t keys;
  };
  for (const auto& c : {Case{0, 2048, 0}, Case{100, 2048, 0}, Case{200, 2048, 2}, Case{4600, 2048, 30},
                        Case{2000, 32768, 0}, Case{4600, 32768, 2}, Case{4600, 1024, 60}}) {
    std::vector<JobId> dependency;
    for (std::size_t i = 0; i < c.dependency; ++i) dependency.push_back(run(i));
    auto values = fit_job(record(run(9000), dependency), c.max_bytes);
    ASSERT_TRUE(values) << c.dependency;
    EXPECT_EQ(values->depends_on.size(), c.keys) << c.dependency << " " << c.max_bytes;
    EXPECT_LE(value_bytes(to_json(values->record)), c.max_bytes);
    auto read = parse_job_record(protocol::parse_json(protocol::dump(to_json(values->record))));
    EXPECT_EQ(read.dependency_keys, c.keys);
    auto names = read.spec->depends_on;
    for (const auto& segment : values->depends_on) {
      auto j = protocol::parse_json(protocol::dump(to_json(segment)));
      EXPECT_LE(protocol::dump(j).size(), c.max_bytes);
      auto some = parse_dependency_segment(j).depends_on;
      names.insert(names.end(), some.begin(), some.end());
    }
    EXPECT_EQ(names, dependency);
  }
  // Without dependencies a record is what it always was, and what doesn't fit by itself is refused.
  EXPECT_FALSE(to_json(record(run(1), {})).at("job").contains("awaits"));
  EXPECT_FALSE(fit_job(record(run(1), {}), 100));
  EXPECT_FALSE(fit_job(record(run(1), {run(2)}), 100));
}

// What each version writes, as the other reads it.
TEST(FormatVersions, EachReadsTheOthersRecords) {
  // A terminal record without a time, and a liveness record without a version, are of format version 0.
  auto terminal_record = parse_terminal_record(Json{{"end", "done"}, {"done", 3u}});
  EXPECT_EQ(terminal_record.state, TerminalState::kDone);
  EXPECT_EQ(terminal_record.completed_at, std::nullopt);
  EXPECT_EQ(parse_alive(Json{{"up", true}}), 0u);
  EXPECT_EQ(parse_alive(alive_value()), kFormatVersion);
  EXPECT_EQ(parse_terminal_record(to_json(TerminalRecord{TerminalState::kDone, 3, WallMs(77)})).completed_at,
            WallMs(77));
  // A time of zero is neither written nor read.
  EXPECT_FALSE(to_json(TerminalRecord{TerminalState::kDone, 3, WallMs()}).contains("at"));
  EXPECT_EQ(parse_terminal_record(Json{{"end", "done"}, {"done", 3u}, {"at", 0}}).completed_at, std::nullopt);
  // Fields that are not known yet are ignored.
  EXPECT_EQ(parse_terminal_record(Json{{"end", "cancelled"}, {"done", 0u}, {"later", 1}}).state,
            TerminalState::kCancelled);
  EXPECT_EQ(parse_alive(Json{{"up", true}, {"version", 9u}, {"later", {}}}), 9u);
  Versions shown{{ControllerName("a"), 1}, {ControllerName("b"), 0}};
  EXPECT_EQ(parse_versions(to_json(shown)), shown);
}

// Each version reads `controller`, and those from 1 on `holder` as well: a role that is written in another
// field doesn't exist for them, and their attempts to acquire it conflict.
TEST(FormatVersions, ARoleIsReadableFromTheVersionThatItNames) {
  const std::vector<std::string> holder_fields{"node", "holder", "owner"};
  for (std::uint32_t since = 0; since < holder_fields.size(); ++since) {
    Role role{ControllerName("a"), Term(4), since};
    auto json = to_json(role);
    for (std::uint32_t field = 0; field < holder_fields.size(); ++field)
      EXPECT_EQ(json.contains(holder_fields[field]), field == since) << since;
    auto read = parse_role(json);
    EXPECT_EQ(read.min_reader_version, since);
    EXPECT_EQ(read.controller, ControllerName("a"));
    EXPECT_EQ(read.term, Term(4));
  }
  // As written by versions 0 and 1.
  EXPECT_EQ(parse_role(protocol::parse_json(R"({"node":"a","term":4})")).min_reader_version, 0u);
  EXPECT_EQ(parse_role(protocol::parse_json(R"({"holder":"a","term":4})")).min_reader_version, 1u);
  EXPECT_THROW(parse_role(protocol::parse_json(R"({"custodian":"a","term":4})")), protocol::ProtocolError);
}

// A view to which records come one by one.
struct Records {
  StateView view;
  std::uint64_t revision = 10;
  void put(const std::string& key, Json value) { view.apply({key, std::move(value), Revision(++revision)}); }
  void job(const JobId& id, std::vector<JobId> depends_on = {}) {
    put(job_key(id), to_json(record(id, std::move(depends_on))));
  }
  void end(const JobId& id, TerminalState e, std::int64_t at = 0) {
    put(terminal_key(id), to_json(TerminalRecord{e, 0, WallMs(at)}));
  }
  void drop(const std::string& key) { view.apply({key, std::nullopt, Revision(++revision)}); }
  bool ready(const JobId& id) const { return view.dependencies().ready_since(id, WallMs()).has_value(); }
  bool cancelled(const JobId& id) const { return view.terminal_state(id) == TerminalState::kCancelled; }
  std::uint64_t visited_count() const { return view.dependencies().visited_count(); }
};

TEST(FormatVersions, AllSupportItOnceEachHasAdvertisedItAndNoneHasGoneBack) {
  const std::vector<ControllerName> controllers{ControllerName("a"), ControllerName("b")};
  Records r;
  auto advertise = [&](Versions v) { r.put(versions_key(), to_json(v)); };
  EXPECT_FALSE(r.view.all_support(1, controllers));
  advertise({{ControllerName("a"), 1}});
  EXPECT_FALSE(r.view.all_support(1, controllers));
  advertise({{ControllerName("a"), 1}, {ControllerName("b"), 0}});
  EXPECT_FALSE(r.view.all_support(1, controllers));
  advertise({{ControllerName("a"), 1}, {ControllerName("b"), 1}});
  EXPECT_TRUE(r.view.all_support(1, controllers));
  // One that is away for a while doesn't count against it, an old process that is back does.
  r.put(alive_key(ControllerName("b")), Json{{"up", true}});
  EXPECT_FALSE(r.view.all_support(1, controllers));
  r.drop(alive_key(ControllerName("b")));
  EXPECT_TRUE(r.view.all_support(1, controllers));
  r.put(alive_key(ControllerName("b")), alive_value());
  EXPECT_TRUE(r.view.all_support(1, controllers));
}

// Pages are read one after the other, so a record may be read before its keys: until all are there the job
// isn't known, or it would start too early.
TEST(DependencyRecords, AJobIsKnownOnceAllItsKeysAreRead) {
  std::vector<JobId> dependency;
  for (std::size_t i = 0; i < 300; ++i) dependency.push_back(run(i));
  auto values = fit_job(record(run(9000), dependency), 2048);
  ASSERT_TRUE(values);
  const auto keys = values->depends_on.size();
  ASSERT_EQ(keys, 2u);
  // The record first, in the middle, and last.
  for (std::size_t place = 0; place <= keys; ++place) {
    Records r;
    for (std::size_t i = 0; i < 300; ++i) r.job(run(i));
    for (std::size_t k = 0; k <= keys; ++k) {
      EXPECT_FALSE(r.view.job(run(9000)) && k < keys) << place << " " << k;
      EXPECT_FALSE(r.ready(run(9000)));
      if (k == place) r.put(job_key(run(9000)), to_json(values->record));
      if (k < keys)
        r.put(dependency_key(run(9000), static_cast<std::uint32_t>(k)), to_json(values->depends_on[k]));
    }
    ASSERT_TRUE(r.view.job(run(9000))) << place;
    EXPECT_EQ(r.view.job(run(9000))->record.spec->depends_on, dependency);
    EXPECT_TRUE(r.view.dependencies().waiting(run(9000)));
    for (std::size_t i = 0; i < 299; ++i) r.end(run(i), TerminalState::kDone);
    EXPECT_FALSE(r.ready(run(9000)));
    if (place == 0) {
      r.end(run(299), TerminalState::kDone);
      EXPECT_TRUE(r.ready(run(9000)));
    } else {
      r.end(run(299), TerminalState::kCancelled);
      EXPECT_TRUE(r.cancelled(run(9000)));
    }
    // The record goes first, the keys after it.
    r.drop(job_key(run(9000)));
    EXPECT_EQ(r.view.dependency_keys(run(9000)).size(), keys);
    for (std::size_t k = 0; k < keys; ++k) r.drop(dependency_key(run(9000), static_cast<std::uint32_t>(k)));
    EXPECT_TRUE(r.view.all_dependency_keys().empty());
  }
}

TEST(Dependencies, ReadyOnlyOnceAllAreDone) {
  Records r;
  for (std::size_t i = 0; i < 3; ++i) r.job(run(i));
  r.job(run(9), {run(0), run(1), run(2)});
  r.end(run(1), TerminalState::kDone, 500);
  r.end(run(0), TerminalState::kDone, 400);
  EXPECT_FALSE(r.ready(run(9)));
  EXPECT_TRUE(r.view.dependencies().waiting(run(9)));
  r.view.take_changes();
  r.end(run(2), TerminalState::kDone);  // by a version that doesn't say when
  EXPECT_TRUE(r.view.take_changes().jobs.contains(run(9)));
  ASSERT_TRUE(r.ready(run(9)));
  EXPECT_EQ(*r.view.dependencies().ready_since(run(9), WallMs(900)), WallMs(500));
  // Submitted when all are over and their records are dropped: ready at once.
  for (std::size_t i = 0; i < 3; ++i) r.drop(job_key(run(i)));
  r.job(run(10), {run(0), run(1), run(2)});
  EXPECT_TRUE(r.ready(run(10)));
  EXPECT_FALSE(r.view.terminal_state(run(10)));
}

TEST(Dependencies, WithoutARecordedTimeAJobIsReadySinceTheGivenOne) {
  Records records;
  records.job(run(1));
  records.job(run(2), {run(1)});
  const auto& dependencies = records.view.dependencies();
  EXPECT_EQ(dependencies.ready_since(run(1), WallMs(9)), std::nullopt);  // depends on nothing
  EXPECT_EQ(dependencies.ready_since(run(2), WallMs(9)), std::nullopt);  // waits
  records.end(run(1), TerminalState::kDone);
  EXPECT_EQ(dependencies.ready_since(run(2), WallMs(9)), WallMs(9));
}

TEST(Dependencies, CancellationReachesAllThatNeedTheJob) {
  struct Case {
    const char* what;
    std::vector<std::vector<std::size_t>> depends_on;  // of each job
    std::size_t cancelled;
    std::set<std::size_t> reached;
  };
  const Case cases[] = {
      {"a chain, at its head", {{}, {0}, {1}, {2}}, 0, {1, 2, 3}},
      {"a chain, in the middle", {{}, {0}, {1}, {2}}, 1, {2, 3}},
      {"a fan", {{}, {0}, {0}, {0}}, 0, {1, 2, 3}},
      {"a diamond", {{}, {0}, {0}, {1, 2}, {}}, 0, {1, 2, 3}},
      {"one side of a diamond", {{}, {0}, {0}, {1, 2}}, 2, {3}},
      {"joined from two heads", {{}, {}, {0, 1}, {1}}, 0, {2}},
  };
  for (const auto& c : cases) {
    // Whatever the order in which the records are read.
    for (int order = 0; order < 4; ++order) {
      Records r;
      auto write_terminal_record = [&] { r.end(run(c.cancelled), TerminalState::kCancelled); };
      auto write_jobs = [&](bool backwards) {
        for (std::size_t k = 0; k < c.depends_on.size(); ++k) {
          auto i = backwards ? c.depends_on.size() - 1 - k : k;
          std::vector<JobId> depends_on;
          for (auto a : c.depends_on[i]) depends_on.push_back(run(a));
          r.job(run(i), depends_on);
        }
      };
      if (order < 2) write_terminal_record();
      write_jobs(order % 2 == 1);
      if (order >= 2) write_terminal_record();
      for (std::size_t i = 0; i < c.depends_on.size(); ++i) {
        bool want = i == c.cancelled || c.reached.contains(i);
        EXPECT_EQ(r.cancelled(run(i)), want) << c.what << ", order " << order << ", job " << i;
        EXPECT_FALSE(want && r.ready(run(i))) << c.what;
        auto by = want ? r.view.terminal_record(run(c.cancelled)).revision : Revision();
        EXPECT_EQ(r.view.terminal_revision(run(i)), by) << c.what;
      }
      EXPECT_EQ(r.view.dependencies().unrecorded().size(), c.reached.size()) << c.what;
    }
  }
}

// The leader records derived ends in any order and drops the records of jobs that have one. Whatever is left
// must tell the same.
TEST(Dependencies, StatesStandWhileTerminalRecordsAreWrittenAndRecordsDropped) {
  constexpr std::size_t kJobs = 300;
  Records r;
  for (std::size_t i = 0; i < kJobs; ++i) r.job(run(i), i ? std::vector{run(i - 1)} : std::vector<JobId>{});
  r.end(run(0), TerminalState::kCancelled);
  for (std::size_t i = 0; i < kJobs; ++i) {
    auto id = run(i * 7 % kJobs);
    if (!r.view.terminal_record(id).exists()) r.end(id, TerminalState::kCancelled);
    r.drop(job_key(id));
    for (std::size_t k = 0; k < kJobs; k += 11) ASSERT_TRUE(r.cancelled(run(k))) << i << " " << k;
  }
  EXPECT_TRUE(r.view.dependencies().unrecorded().empty());
  // Submitted afterwards, naming one in the middle: accepted, and cancelled at once.
  r.job(run(5000), {run(150)});
  EXPECT_TRUE(r.cancelled(run(5000)));
}

TEST(Dependencies, ACancellationAfterTheJobIsDoneChangesNothing) {
  Records r;
  r.job(run(0));
  r.job(run(1), {run(0)});
  r.job(run(2), {run(1)});
  r.end(run(0), TerminalState::kDone);
  // The cancellation came too late: the record that is there stands.
  EXPECT_FALSE(r.cancelled(run(1)));
  EXPECT_TRUE(r.ready(run(1)));
  EXPECT_FALSE(r.ready(run(2)));
  // The user calls off a job in the middle: what is behind it goes, what is before it stays done.
  r.end(run(1), TerminalState::kCancelled);
  EXPECT_TRUE(r.cancelled(run(2)));
  EXPECT_EQ(r.view.terminal_state(run(0)), TerminalState::kDone);
}

// A chain of thousands (no recursion), and what events cost with ten thousand jobs that wait.
TEST(Dependencies, CostNoMoreThanWhatChanges) {
  constexpr std::size_t kChain = 5000, kPairs = 5000;
  Records r;
  for (std::size_t i = 0; i < kChain; ++i) r.job(run(i), i ? std::vector{run(i - 1)} : std::vector<JobId>{});
  for (std::size_t i = 0; i < kPairs; ++i) {
    r.job(run(10000 + i));
    r.job(run(20000 + i), {run(10000 + i)});
  }
  auto before = r.visited_count();
  r.end(run(10007), TerminalState::kDone);
  EXPECT_LE(r.visited_count() - before, 1u);
  before = r.visited_count();
  r.end(run(10008), TerminalState::kCancelled);
  EXPECT_LE(r.visited_count() - before, 1u);
  before = r.visited_count();
  r.job(run(30000), {run(4999), run(10009)});
  EXPECT_LE(r.visited_count() - before, 2u);
  before = r.visited_count();
  r.end(run(0), TerminalState::kCancelled);
  EXPECT_LE(r.visited_count() - before, kChain + 1);
  EXPECT_TRUE(r.cancelled(run(4999)));
  EXPECT_TRUE(r.cancelled(run(30000)));
  EXPECT_FALSE(r.cancelled(run(20009)));
}

}  // namespace
}  // namespace beaconsill::state_store
