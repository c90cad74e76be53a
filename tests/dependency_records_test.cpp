// Jobs that depend on others: their records, what follows from the terminal records of those, and how format
// versions with and without dependencies read each other's records.
#include <gtest/gtest.h>

#include "job_submission.h"
#include "state_store/state_view.h"
#include "state_store/value_sizes.h"

namespace beaconsill::state_store {
namespace {

using protocol::Json;

JobId run(std::size_t number) {
  return JobId("run-" + std::to_string(100000 + number));
}

Json submission() {
  // From text, as it comes: there a count is no signed number.
  return protocol::parse_json(job_json("run-000412", "batch", 3, "high"));
}

Json names(std::size_t count) {
  Json list = Json::array();
  for (std::size_t i = 0; i < count; ++i) list.push_back(run(i).value());
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
  for (const auto& test_case : cases) {
    Json json = submission();
    json["awaits"] = test_case.depends_on;
    if (!test_case.count) {
      EXPECT_THROW(protocol::parse_job(json), protocol::ProtocolError) << test_case.what;
      continue;
    }
    EXPECT_EQ(protocol::parse_job(json).depends_on.size(), *test_case.count) << test_case.what;
  }
  EXPECT_TRUE(protocol::parse_job(submission()).depends_on.empty());
}

JobRecord record(const JobId& id, std::vector<JobId> depends_on) {
  Json json = submission();
  json["ref"] = id.value();
  auto spec = protocol::parse_job(json);
  spec.depends_on = std::move(depends_on);
  return {std::make_shared<const protocol::JobSpec>(std::move(spec)), WallMs(5)};
}

// The value of a record, and of each key of dependencies, fits whatever their number.
TEST(DependencyRecords, RecordsFitAndSurviveTheRoundTrip) {
  struct Case {
    std::size_t dependency, max_bytes;
    std::size_t keys;
  };
  for (const auto& test_case :
       {Case{0, 2048, 0}, Case{100, 2048, 0}, Case{200, 2048, 2}, Case{4600, 2048, 30}, Case{2000, 32768, 0},
        Case{4600, 32768, 2}, Case{4600, 1024, 60}}) {
    std::vector<JobId> dependency;
    for (std::size_t i = 0; i < test_case.dependency; ++i) dependency.push_back(run(i));
    auto values = split_job_record(record(run(9000), dependency), test_case.max_bytes);
    ASSERT_TRUE(values) << test_case.dependency;
    EXPECT_EQ(values->depends_on.size(), test_case.keys)
        << test_case.dependency << " " << test_case.max_bytes;
    EXPECT_LE(value_bytes(to_json(values->record)), test_case.max_bytes);
    auto read = parse_job_record(protocol::parse_json(protocol::dump(to_json(values->record))));
    EXPECT_EQ(read.dependency_keys, test_case.keys);
    auto names = read.spec->depends_on;
    for (const auto& segment : values->depends_on) {
      auto json = protocol::parse_json(protocol::dump(to_json(segment)));
      EXPECT_LE(protocol::dump(json).size(), test_case.max_bytes);
      auto some = parse_dependency_segment(json).depends_on;
      names.insert(names.end(), some.begin(), some.end());
    }
    EXPECT_EQ(names, dependency);
  }
  // Without dependencies a record is what it always was, and what doesn't fit by itself is refused.
  EXPECT_FALSE(to_json(record(run(1), {})).at("job").contains("awaits"));
  EXPECT_FALSE(split_job_record(record(run(1), {}), 100));
  EXPECT_FALSE(split_job_record(record(run(1), {run(2)}), 100));
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
  void end(const JobId& id, TerminalState state, std::int64_t at = 0) {
    put(terminal_key(id), to_json(TerminalRecord{state, 0, WallMs(at)}));
  }
  void drop(const std::string& key) { view.apply({key, std::nullopt, Revision(++revision)}); }
  bool ready(const JobId& id) const { return view.dependencies().ready_since(id, WallMs()).has_value(); }
  bool cancelled(const JobId& id) const { return view.terminal_state(id) == TerminalState::kCancelled; }
  std::uint64_t visited_count() const { return view.dependencies().visited_count(); }
};

TEST(FormatVersions, AllSupportItOnceEachHasAdvertisedItAndNoneHasGoneBack) {
  const std::vector<ControllerName> controllers{ControllerName("a"), ControllerName("b")};
  Records records;
  auto advertise = [&](Versions versions) { records.put(versions_key(), to_json(versions)); };
  EXPECT_FALSE(records.view.all_support(1, controllers));
  advertise({{ControllerName("a"), 1}});
  EXPECT_FALSE(records.view.all_support(1, controllers));
  advertise({{ControllerName("a"), 1}, {ControllerName("b"), 0}});
  EXPECT_FALSE(records.view.all_support(1, controllers));
  advertise({{ControllerName("a"), 1}, {ControllerName("b"), 1}});
  EXPECT_TRUE(records.view.all_support(1, controllers));
  // One that is away for a while doesn't count against it, an old process that is back does.
  records.put(alive_key(ControllerName("b")), Json{{"up", true}});
  EXPECT_FALSE(records.view.all_support(1, controllers));
  records.drop(alive_key(ControllerName("b")));
  EXPECT_TRUE(records.view.all_support(1, controllers));
  records.put(alive_key(ControllerName("b")), alive_value());
  EXPECT_TRUE(records.view.all_support(1, controllers));
}

// Pages are read one after the other, so a record may be read before its keys: until all are there the job
// isn't known, or it would start too early.
TEST(DependencyRecords, AJobIsKnownOnceAllItsKeysAreRead) {
  std::vector<JobId> dependency;
  for (std::size_t i = 0; i < 300; ++i) dependency.push_back(run(i));
  auto values = split_job_record(record(run(9000), dependency), 2048);
  ASSERT_TRUE(values);
  const auto keys = values->depends_on.size();
  ASSERT_EQ(keys, 2u);
  // The record first, in the middle, and last.
  for (std::size_t place = 0; place <= keys; ++place) {
    Records records;
    for (std::size_t i = 0; i < 300; ++i) records.job(run(i));
    for (std::size_t segment = 0; segment <= keys; ++segment) {
      EXPECT_FALSE(records.view.job(run(9000)) && segment < keys) << place << " " << segment;
      EXPECT_FALSE(records.ready(run(9000)));
      if (segment == place) records.put(job_key(run(9000)), to_json(values->record));
      if (segment < keys)
        records.put(dependency_key(run(9000), static_cast<std::uint32_t>(segment)),
                    to_json(values->depends_on[segment]));
    }
    ASSERT_TRUE(records.view.job(run(9000))) << place;
    EXPECT_EQ(records.view.job(run(9000))->record.spec->depends_on, dependency);
    EXPECT_TRUE(records.view.dependencies().waiting(run(9000)));
    for (std::size_t i = 0; i < 299; ++i) records.end(run(i), TerminalState::kDone);
    EXPECT_FALSE(records.ready(run(9000)));
    if (place == 0) {
      records.end(run(299), TerminalState::kDone);
      EXPECT_TRUE(records.ready(run(9000)));
    } else {
      records.end(run(299), TerminalState::kCancelled);
      EXPECT_TRUE(records.cancelled(run(9000)));
    }
    // The record goes first, the keys after it.
    records.drop(job_key(run(9000)));
    EXPECT_EQ(records.view.dependency_keys(run(9000)).size(), keys);
    for (std::size_t segment = 0; segment < keys; ++segment)
      records.drop(dependency_key(run(9000), static_cast<std::uint32_t>(segment)));
    EXPECT_TRUE(records.view.all_dependency_keys().empty());
  }
}

TEST(Dependencies, ReadyOnlyOnceAllAreDone) {
  Records records;
  for (std::size_t i = 0; i < 3; ++i) records.job(run(i));
  records.job(run(9), {run(0), run(1), run(2)});
  records.end(run(1), TerminalState::kDone, 500);
  records.end(run(0), TerminalState::kDone, 400);
  EXPECT_FALSE(records.ready(run(9)));
  EXPECT_TRUE(records.view.dependencies().waiting(run(9)));
  records.view.take_changes();
  records.end(run(2), TerminalState::kDone);  // by a version that doesn't say when
  EXPECT_TRUE(records.view.take_changes().jobs.contains(run(9)));
  ASSERT_TRUE(records.ready(run(9)));
  EXPECT_EQ(*records.view.dependencies().ready_since(run(9), WallMs(900)), WallMs(500));
  // Submitted when all are over and their records are dropped: ready at once.
  for (std::size_t i = 0; i < 3; ++i) records.drop(job_key(run(i)));
  records.job(run(10), {run(0), run(1), run(2)});
  EXPECT_TRUE(records.ready(run(10)));
  EXPECT_FALSE(records.view.terminal_state(run(10)));
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
  for (const auto& test_case : cases) {
    // Whatever the order in which the records are read.
    for (int order = 0; order < 4; ++order) {
      Records records;
      auto write_terminal_record = [&] { records.end(run(test_case.cancelled), TerminalState::kCancelled); };
      auto write_jobs = [&](bool backwards) {
        for (std::size_t position = 0; position < test_case.depends_on.size(); ++position) {
          auto job = backwards ? test_case.depends_on.size() - 1 - position : position;
          std::vector<JobId> depends_on;
          for (auto dependency : test_case.depends_on[job]) depends_on.push_back(run(dependency));
          records.job(run(job), depends_on);
        }
      };
      if (order < 2) write_terminal_record();
      write_jobs(order % 2 == 1);
      if (order >= 2) write_terminal_record();
      for (std::size_t job = 0; job < test_case.depends_on.size(); ++job) {
        bool want = job == test_case.cancelled || test_case.reached.contains(job);
        EXPECT_EQ(records.cancelled(run(job)), want)
            << test_case.what << ", order " << order << ", job " << job;
        EXPECT_FALSE(want && records.ready(run(job))) << test_case.what;
        auto by = want ? records.view.terminal_record(run(test_case.cancelled)).revision : Revision();
        EXPECT_EQ(records.view.terminal_revision(run(job)), by) << test_case.what;
      }
      EXPECT_EQ(records.view.dependencies().unrecorded().size(), test_case.reached.size()) << test_case.what;
    }
  }
}

// The leader records derived ends in any order and drops the records of jobs that have one. Whatever is left
// must tell the same.
TEST(Dependencies, StatesStandWhileTerminalRecordsAreWrittenAndRecordsDropped) {
  constexpr std::size_t kJobs = 300;
  Records records;
  for (std::size_t i = 0; i < kJobs; ++i)
    records.job(run(i), i ? std::vector{run(i - 1)} : std::vector<JobId>{});
  records.end(run(0), TerminalState::kCancelled);
  for (std::size_t i = 0; i < kJobs; ++i) {
    auto id = run(i * 7 % kJobs);
    if (!records.view.terminal_record(id).exists()) records.end(id, TerminalState::kCancelled);
    records.drop(job_key(id));
    for (std::size_t job = 0; job < kJobs; job += 11)
      ASSERT_TRUE(records.cancelled(run(job))) << i << " " << job;
  }
  EXPECT_TRUE(records.view.dependencies().unrecorded().empty());
  // Submitted afterwards, naming one in the middle: accepted, and cancelled at once.
  records.job(run(5000), {run(150)});
  EXPECT_TRUE(records.cancelled(run(5000)));
}

TEST(Dependencies, ACancellationAfterTheJobIsDoneChangesNothing) {
  Records records;
  records.job(run(0));
  records.job(run(1), {run(0)});
  records.job(run(2), {run(1)});
  records.end(run(0), TerminalState::kDone);
  // The cancellation came too late: the record that is there stands.
  EXPECT_FALSE(records.cancelled(run(1)));
  EXPECT_TRUE(records.ready(run(1)));
  EXPECT_FALSE(records.ready(run(2)));
  // The user calls off a job in the middle: what is behind it goes, what is before it stays done.
  records.end(run(1), TerminalState::kCancelled);
  EXPECT_TRUE(records.cancelled(run(2)));
  EXPECT_EQ(records.view.terminal_state(run(0)), TerminalState::kDone);
}

// A chain of thousands (no recursion), and what events cost with ten thousand jobs that wait.
TEST(Dependencies, CostNoMoreThanWhatChanges) {
  constexpr std::size_t kChain = 5000, kPairs = 5000;
  Records records;
  for (std::size_t i = 0; i < kChain; ++i)
    records.job(run(i), i ? std::vector{run(i - 1)} : std::vector<JobId>{});
  for (std::size_t i = 0; i < kPairs; ++i) {
    records.job(run(10000 + i));
    records.job(run(20000 + i), {run(10000 + i)});
  }
  auto before = records.visited_count();
  records.end(run(10007), TerminalState::kDone);
  EXPECT_LE(records.visited_count() - before, 1u);
  before = records.visited_count();
  records.end(run(10008), TerminalState::kCancelled);
  EXPECT_LE(records.visited_count() - before, 1u);
  before = records.visited_count();
  records.job(run(30000), {run(4999), run(10009)});
  EXPECT_LE(records.visited_count() - before, 2u);
  before = records.visited_count();
  records.end(run(0), TerminalState::kCancelled);
  EXPECT_LE(records.visited_count() - before, kChain + 1);
  EXPECT_TRUE(records.cancelled(run(4999)));
  EXPECT_TRUE(records.cancelled(run(30000)));
  EXPECT_FALSE(records.cancelled(run(20009)));
}

}  // namespace
}  // namespace beaconsill::state_store
