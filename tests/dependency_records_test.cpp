// Tests jobs that depend on others: how their records are stored, how the terminal records of the
// dependencies make them ready or cancelled, and how format versions with and without dependencies read each
// other's records.
#include <gtest/gtest.h>

#include "job_submission.h"
#include "state_store/state_view.h"
#include "state_store/value_sizes.h"

namespace beaconsill::state_store {
namespace {

using protocol::Json;

JobId make_job_id(std::size_t number) {
  return JobId("run-" + std::to_string(100000 + number));
}

Json submission() {
  // Parsed from text as in a real request, because the parser represents counts as unsigned numbers.
  return protocol::parse_json(job_json("run-000412", "batch", 3, "high"));
}

Json job_id_list(std::size_t count) {
  Json list = Json::array();
  for (std::size_t i = 0; i < count; ++i) list.push_back(make_job_id(i).value());
  return list;
}

TEST(DependencyRecords, ParseJobAcceptsOnlyListsOfDistinctJobIds) {
  struct Case {
    const char* what;
    Json depends_on;
    std::optional<std::size_t> count;  // std::nullopt if parse_job must reject the input
  };
  const Case cases[] = {
      {"none", Json(nullptr), 0},
      {"an empty list", Json::array(), 0},
      {"two", job_id_list(2), 2},
      {"hundreds", job_id_list(300), 300},
      {"as many as a request of 64 KiB can name", job_id_list(4600), 4600},
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

// The values of a job record and of each additional dependency key must not exceed the size limit, regardless
// of the number of dependencies.
TEST(DependencyRecords, ValuesStayWithinTheSizeLimitAndRoundTrip) {
  struct Case {
    std::size_t dependency_count, max_bytes;
    std::size_t key_count;
  };
  for (const auto& test_case :
       {Case{0, 2048, 0}, Case{100, 2048, 0}, Case{200, 2048, 2}, Case{4600, 2048, 30}, Case{2000, 32768, 0},
        Case{4600, 32768, 2}, Case{4600, 1024, 60}}) {
    std::vector<JobId> dependencies;
    for (std::size_t i = 0; i < test_case.dependency_count; ++i) dependencies.push_back(make_job_id(i));
    auto values = split_job_record(record(make_job_id(9000), dependencies), test_case.max_bytes);
    ASSERT_TRUE(values) << test_case.dependency_count;
    EXPECT_EQ(values->depends_on.size(), test_case.key_count)
        << test_case.dependency_count << " " << test_case.max_bytes;
    EXPECT_LE(value_bytes(to_json(values->record)), test_case.max_bytes);
    auto read = parse_job_record(protocol::parse_json(protocol::dump(to_json(values->record))));
    EXPECT_EQ(read.dependency_keys, test_case.key_count);
    auto read_dependencies = read.spec->depends_on;
    for (const auto& segment : values->depends_on) {
      auto json = protocol::parse_json(protocol::dump(to_json(segment)));
      EXPECT_LE(protocol::dump(json).size(), test_case.max_bytes);
      auto segment_dependencies = parse_dependency_segment(json).depends_on;
      read_dependencies.insert(read_dependencies.end(), segment_dependencies.begin(),
                               segment_dependencies.end());
    }
    EXPECT_EQ(read_dependencies, dependencies);
  }
  // A record without dependencies has the same form as before dependencies existed. A record that exceeds the
  // limit even without its dependencies is rejected.
  EXPECT_FALSE(to_json(record(make_job_id(1), {})).at("job").contains("awaits"));
  EXPECT_FALSE(split_job_record(record(make_job_id(1), {}), 100));
  EXPECT_FALSE(split_job_record(record(make_job_id(1), {make_job_id(2)}), 100));
}

// Each format version must be able to parse what earlier and later versions write.
TEST(FormatVersions, ParsersAcceptRecordsOfEarlierAndLaterVersions) {
  // A terminal record without a time, and a liveness record without a version, are of format version 0.
  auto terminal_record = parse_terminal_record(Json{{"end", "done"}, {"done", 3u}});
  EXPECT_EQ(terminal_record.state, TerminalState::kDone);
  EXPECT_EQ(terminal_record.completed_at, std::nullopt);
  EXPECT_EQ(parse_alive(Json{{"up", true}}), 0u);
  EXPECT_EQ(parse_alive(alive_value()), kFormatVersion);
  EXPECT_EQ(parse_terminal_record(to_json(TerminalRecord{TerminalState::kDone, 3, WallMs(77)})).completed_at,
            WallMs(77));
  // A completion time of zero counts as unknown, both when writing and when parsing.
  EXPECT_FALSE(to_json(TerminalRecord{TerminalState::kDone, 3, WallMs()}).contains("at"));
  EXPECT_EQ(parse_terminal_record(Json{{"end", "done"}, {"done", 3u}, {"at", 0}}).completed_at, std::nullopt);
  // Unknown fields, which later versions may add, are ignored.
  EXPECT_EQ(parse_terminal_record(Json{{"end", "cancelled"}, {"done", 0u}, {"later", 1}}).state,
            TerminalState::kCancelled);
  EXPECT_EQ(parse_alive(Json{{"up", true}, {"version", 9u}, {"later", {}}}), 9u);
  Versions versions{{ControllerName("a"), 1}, {ControllerName("b"), 0}};
  EXPECT_EQ(parse_versions(to_json(versions)), versions);
}

// Version 0 reads only the field `node`, version 1 also `holder`. A role that names its controller in the
// field of a later version is missing for an earlier one, whose attempts to acquire it therefore conflict.
TEST(FormatVersions, RoleIsReadableOnlyFromItsMinReaderVersionOn) {
  const std::vector<std::string> controller_fields{"node", "holder", "owner"};
  for (std::uint32_t version = 0; version < controller_fields.size(); ++version) {
    Role role{ControllerName("a"), Term(4), version};
    auto json = to_json(role);
    for (std::uint32_t field = 0; field < controller_fields.size(); ++field)
      EXPECT_EQ(json.contains(controller_fields[field]), field == version) << version;
    auto read = parse_role(json);
    EXPECT_EQ(read.min_reader_version, version);
    EXPECT_EQ(read.controller, ControllerName("a"));
    EXPECT_EQ(read.term, Term(4));
  }
  // As written by versions 0 and 1.
  EXPECT_EQ(parse_role(protocol::parse_json(R"({"node":"a","term":4})")).min_reader_version, 0u);
  EXPECT_EQ(parse_role(protocol::parse_json(R"({"holder":"a","term":4})")).min_reader_version, 1u);
  EXPECT_THROW(parse_role(protocol::parse_json(R"({"custodian":"a","term":4})")), protocol::ProtocolError);
}

// A StateView to which single records are applied, each with the next revision.
struct RecordView {
  StateView view;
  std::uint64_t revision = 10;
  void put(const std::string& key, Json value) { view.apply({key, std::move(value), Revision(++revision)}); }
  void put_job(const JobId& id, std::vector<JobId> depends_on = {}) {
    put(job_key(id), to_json(record(id, std::move(depends_on))));
  }
  void put_terminal(const JobId& id, TerminalState state, std::int64_t completed_at = 0) {
    put(terminal_key(id), to_json(TerminalRecord{state, 0, WallMs(completed_at)}));
  }
  void delete_key(const std::string& key) { view.apply({key, std::nullopt, Revision(++revision)}); }
  bool ready(const JobId& id) const { return view.dependencies().ready_since(id, WallMs()).has_value(); }
  bool cancelled(const JobId& id) const { return view.terminal_state(id) == TerminalState::kCancelled; }
  std::uint64_t visited_count() const { return view.dependencies().visited_count(); }
};

TEST(FormatVersions, VersionIsSupportedOnceAllHaveAdvertisedItUnlessALiveControllerAdvertisesALowerOne) {
  const std::vector<ControllerName> controllers{ControllerName("a"), ControllerName("b")};
  RecordView records;
  auto advertise = [&](Versions versions) { records.put(versions_key(), to_json(versions)); };
  EXPECT_FALSE(records.view.all_support(1, controllers));
  advertise({{ControllerName("a"), 1}});
  EXPECT_FALSE(records.view.all_support(1, controllers));
  advertise({{ControllerName("a"), 1}, {ControllerName("b"), 0}});
  EXPECT_FALSE(records.view.all_support(1, controllers));
  advertise({{ControllerName("a"), 1}, {ControllerName("b"), 1}});
  EXPECT_TRUE(records.view.all_support(1, controllers));
  // A live controller that runs an earlier version again counts as not supporting it; one that isn't alive
  // counts with the version that it advertised before.
  records.put(alive_key(ControllerName("b")), Json{{"up", true}});
  EXPECT_FALSE(records.view.all_support(1, controllers));
  records.delete_key(alive_key(ControllerName("b")));
  EXPECT_TRUE(records.view.all_support(1, controllers));
  records.put(alive_key(ControllerName("b")), alive_value());
  EXPECT_TRUE(records.view.all_support(1, controllers));
}

// Pages are read one after the other, so a job record may be read before its dependency keys. Until all of
// them have been read the view must not return the job, or it would start before its dependencies are done.
TEST(DependencyRecords, JobIsReturnedOnlyOnceAllItsKeysAreRead) {
  std::vector<JobId> dependencies;
  for (std::size_t i = 0; i < 300; ++i) dependencies.push_back(make_job_id(i));
  auto values = split_job_record(record(make_job_id(9000), dependencies), 2048);
  ASSERT_TRUE(values);
  const auto keys = values->depends_on.size();
  ASSERT_EQ(keys, 2u);
  // The record is read before, between and after its dependency keys.
  for (std::size_t record_position = 0; record_position <= keys; ++record_position) {
    RecordView records;
    for (std::size_t i = 0; i < 300; ++i) records.put_job(make_job_id(i));
    for (std::size_t segment = 0; segment <= keys; ++segment) {
      EXPECT_FALSE(records.view.job(make_job_id(9000)) && segment < keys)
          << record_position << " " << segment;
      EXPECT_FALSE(records.ready(make_job_id(9000)));
      if (segment == record_position) records.put(job_key(make_job_id(9000)), to_json(values->record));
      if (segment < keys)
        records.put(dependency_key(make_job_id(9000), static_cast<std::uint32_t>(segment)),
                    to_json(values->depends_on[segment]));
    }
    ASSERT_TRUE(records.view.job(make_job_id(9000))) << record_position;
    EXPECT_EQ(records.view.job(make_job_id(9000))->record.spec->depends_on, dependencies);
    EXPECT_TRUE(records.view.dependencies().waiting(make_job_id(9000)));
    for (std::size_t i = 0; i < 299; ++i) records.put_terminal(make_job_id(i), TerminalState::kDone);
    EXPECT_FALSE(records.ready(make_job_id(9000)));
    if (record_position == 0) {
      records.put_terminal(make_job_id(299), TerminalState::kDone);
      EXPECT_TRUE(records.ready(make_job_id(9000)));
    } else {
      records.put_terminal(make_job_id(299), TerminalState::kCancelled);
      EXPECT_TRUE(records.cancelled(make_job_id(9000)));
    }
    // The record is deleted first and the dependency keys after it.
    records.delete_key(job_key(make_job_id(9000)));
    EXPECT_EQ(records.view.dependency_keys(make_job_id(9000)).size(), keys);
    for (std::size_t segment = 0; segment < keys; ++segment)
      records.delete_key(dependency_key(make_job_id(9000), static_cast<std::uint32_t>(segment)));
    EXPECT_TRUE(records.view.all_dependency_keys().empty());
  }
}

TEST(Dependencies, JobIsReadyOnlyOnceAllItsDependenciesAreDone) {
  RecordView records;
  for (std::size_t i = 0; i < 3; ++i) records.put_job(make_job_id(i));
  records.put_job(make_job_id(9), {make_job_id(0), make_job_id(1), make_job_id(2)});
  records.put_terminal(make_job_id(1), TerminalState::kDone, 500);
  records.put_terminal(make_job_id(0), TerminalState::kDone, 400);
  EXPECT_FALSE(records.ready(make_job_id(9)));
  EXPECT_TRUE(records.view.dependencies().waiting(make_job_id(9)));
  records.view.take_changes();
  // As written by format version 0, without a completion time.
  records.put_terminal(make_job_id(2), TerminalState::kDone);
  EXPECT_TRUE(records.view.take_changes().jobs.contains(make_job_id(9)));
  ASSERT_TRUE(records.ready(make_job_id(9)));
  EXPECT_EQ(*records.view.dependencies().ready_since(make_job_id(9), WallMs(900)), WallMs(500));
  // A job is ready at once if it is submitted after its dependencies are done and their job records deleted.
  for (std::size_t i = 0; i < 3; ++i) records.delete_key(job_key(make_job_id(i)));
  records.put_job(make_job_id(10), {make_job_id(0), make_job_id(1), make_job_id(2)});
  EXPECT_TRUE(records.ready(make_job_id(10)));
  EXPECT_FALSE(records.view.terminal_state(make_job_id(10)));
}

TEST(Dependencies, ReadySinceReturnsTheFallbackIfNoCompletionTimeIsRecorded) {
  RecordView records;
  records.put_job(make_job_id(1));
  records.put_job(make_job_id(2), {make_job_id(1)});
  const auto& dependencies = records.view.dependencies();
  // Job 1 has no dependencies, and job 2 still waits for its dependency.
  EXPECT_EQ(dependencies.ready_since(make_job_id(1), WallMs(9)), std::nullopt);
  EXPECT_EQ(dependencies.ready_since(make_job_id(2), WallMs(9)), std::nullopt);
  records.put_terminal(make_job_id(1), TerminalState::kDone);
  EXPECT_EQ(dependencies.ready_since(make_job_id(2), WallMs(9)), WallMs(9));
}

TEST(Dependencies, CancellationPropagatesToAllTransitiveDependents) {
  struct Case {
    const char* what;
    std::vector<std::vector<std::size_t>> depends_on;  // dependencies by job number
    std::size_t cancelled;
    std::set<std::size_t> cancelled_dependents;
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
    // The result must not depend on the order in which the records are read.
    for (int order = 0; order < 4; ++order) {
      RecordView records;
      auto write_terminal_record = [&] {
        records.put_terminal(make_job_id(test_case.cancelled), TerminalState::kCancelled);
      };
      auto write_jobs = [&](bool backwards) {
        for (std::size_t position = 0; position < test_case.depends_on.size(); ++position) {
          auto job = backwards ? test_case.depends_on.size() - 1 - position : position;
          std::vector<JobId> depends_on;
          for (auto dependency : test_case.depends_on[job]) depends_on.push_back(make_job_id(dependency));
          records.put_job(make_job_id(job), depends_on);
        }
      };
      if (order < 2) write_terminal_record();
      write_jobs(order % 2 == 1);
      if (order >= 2) write_terminal_record();
      for (std::size_t job = 0; job < test_case.depends_on.size(); ++job) {
        bool expect_cancelled = job == test_case.cancelled || test_case.cancelled_dependents.contains(job);
        EXPECT_EQ(records.cancelled(make_job_id(job)), expect_cancelled)
            << test_case.what << ", order " << order << ", job " << job;
        EXPECT_FALSE(expect_cancelled && records.ready(make_job_id(job))) << test_case.what;
        auto expected_revision = expect_cancelled
                                     ? records.view.terminal_record(make_job_id(test_case.cancelled)).revision
                                     : Revision();
        EXPECT_EQ(records.view.terminal_revision(make_job_id(job)), expected_revision) << test_case.what;
      }
      EXPECT_EQ(records.view.dependencies().unrecorded_cancellations().size(),
                test_case.cancelled_dependents.size())
          << test_case.what;
    }
  }
}

// The leader writes the terminal records of jobs whose dependency was cancelled in any order, and deletes the
// job records of jobs that have one. The remaining records must yield the same states throughout.
TEST(Dependencies, CancelledStatesPersistWhileTerminalRecordsAreWrittenAndJobRecordsDeleted) {
  constexpr std::size_t kJobs = 300;
  RecordView records;
  for (std::size_t i = 0; i < kJobs; ++i)
    records.put_job(make_job_id(i), i ? std::vector{make_job_id(i - 1)} : std::vector<JobId>{});
  records.put_terminal(make_job_id(0), TerminalState::kCancelled);
  for (std::size_t i = 0; i < kJobs; ++i) {
    auto id = make_job_id(i * 7 % kJobs);
    if (!records.view.terminal_record(id).exists()) records.put_terminal(id, TerminalState::kCancelled);
    records.delete_key(job_key(id));
    for (std::size_t job = 0; job < kJobs; job += 11)
      ASSERT_TRUE(records.cancelled(make_job_id(job))) << i << " " << job;
  }
  EXPECT_TRUE(records.view.dependencies().unrecorded_cancellations().empty());
  // A job that is submitted afterwards and depends on a cancelled job is cancelled at once.
  records.put_job(make_job_id(5000), {make_job_id(150)});
  EXPECT_TRUE(records.cancelled(make_job_id(5000)));
}

TEST(Dependencies, CancellationPropagatesToDependentsButNotToCompletedDependencies) {
  RecordView records;
  records.put_job(make_job_id(0));
  records.put_job(make_job_id(1), {make_job_id(0)});
  records.put_job(make_job_id(2), {make_job_id(1)});
  records.put_terminal(make_job_id(0), TerminalState::kDone);
  // A cancellation that arrives after the job is done can't replace the terminal record, so the dependent job
  // is not cancelled.
  EXPECT_FALSE(records.cancelled(make_job_id(1)));
  EXPECT_TRUE(records.ready(make_job_id(1)));
  EXPECT_FALSE(records.ready(make_job_id(2)));
  // The user cancels the job in the middle of the chain: its dependent is cancelled, its dependency stays
  // done.
  records.put_terminal(make_job_id(1), TerminalState::kCancelled);
  EXPECT_TRUE(records.cancelled(make_job_id(2)));
  EXPECT_EQ(records.view.terminal_state(make_job_id(0)), TerminalState::kDone);
}

// Guards against recursion along dependency chains of thousands of jobs, and against events whose cost grows
// with the number of waiting jobs (ten thousand here).
TEST(Dependencies, AnEventVisitsNoMoreJobsThanItChanges) {
  constexpr std::size_t kChain = 5000, kPairs = 5000;
  RecordView records;
  for (std::size_t i = 0; i < kChain; ++i)
    records.put_job(make_job_id(i), i ? std::vector{make_job_id(i - 1)} : std::vector<JobId>{});
  for (std::size_t i = 0; i < kPairs; ++i) {
    records.put_job(make_job_id(10000 + i));
    records.put_job(make_job_id(20000 + i), {make_job_id(10000 + i)});
  }
  auto before = records.visited_count();
  records.put_terminal(make_job_id(10007), TerminalState::kDone);
  EXPECT_LE(records.visited_count() - before, 1u);
  before = records.visited_count();
  records.put_terminal(make_job_id(10008), TerminalState::kCancelled);
  EXPECT_LE(records.visited_count() - before, 1u);
  before = records.visited_count();
  records.put_job(make_job_id(30000), {make_job_id(4999), make_job_id(10009)});
  EXPECT_LE(records.visited_count() - before, 2u);
  before = records.visited_count();
  records.put_terminal(make_job_id(0), TerminalState::kCancelled);
  EXPECT_LE(records.visited_count() - before, kChain + 1);
  EXPECT_TRUE(records.cancelled(make_job_id(4999)));
  EXPECT_TRUE(records.cancelled(make_job_id(30000)));
  EXPECT_FALSE(records.cancelled(make_job_id(20009)));
}

}  // namespace
}  // namespace beaconsill::state_store
