// Jobs that await others: their records, what follows from the ends of those, and what versions before and
// after pipelines make of each other's records.
#include <gtest/gtest.h>

#include "store/sizes.h"
#include "store/view.h"

namespace beaconsill::store {
namespace {

using wire::Json;

JobId run(std::size_t n) {
  return JobId("run-" + std::to_string(100000 + n));
}

Json submission() {
  // From text, as it comes: there a count is no signed number.
  return wire::parse_json(Json{
      {"ref", "run-000412"},
      {"berth", "c"},
      {"crew", "blue"},
      {"shape", "batch"},
      {"precedence", "high"},
      {"lamps", 3},
      {"vcpus", 1.0},
      {"cards", 0.0},
      {"memoryGb", 1.0},
      {"cargo", "img"},
      {"sizeGb", 0.5},
      {"together", false},
      {"scatter", false},
      {"driftwood", false},
      {"reckonS", 1.0},
      {"markS", 0.0},
      {"stowS", 0.0}}.dump());
}

Json names(std::size_t n) {
  Json list = Json::array();
  for (std::size_t i = 0; i < n; ++i) list.push_back(run(i).value());
  return list;
}

TEST(Awaits, BadInputIsRefused) {
  struct Case {
    const char* what;
    Json awaits;
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
    j["awaits"] = c.awaits;
    if (!c.count) {
      EXPECT_THROW(wire::parse_job(j), wire::WireError) << c.what;
      continue;
    }
    EXPECT_EQ(wire::parse_job(j).awaits.size(), *c.count) << c.what;
  }
  EXPECT_TRUE(wire::parse_job(submission()).awaits.empty());
}

JobRecord record(const JobId& id, std::vector<JobId> awaits) {
  Json j = submission();
  j["ref"] = id.value();
  auto spec = wire::parse_job(j);
  spec.awaits = std::move(awaits);
  return {std::make_shared<const wire::JobSpec>(std::move(spec)), WallMs(5)};
}

// The value of a record, and of each key of awaited jobs, fits whatever their number.
TEST(Awaits, RecordsFitAndSurviveTheRoundTrip) {
  struct Case {
    std::size_t awaited, max_bytes;
    std::size_t keys;
  };
  for (const auto& c : {Case{0, 2048, 0}, Case{100, 2048, 0}, Case{200, 2048, 2}, Case{4600, 2048, 30},
                        Case{2000, 32768, 0}, Case{4600, 32768, 2}, Case{4600, 1024, 60}}) {
    std::vector<JobId> awaited;
    for (std::size_t i = 0; i < c.awaited; ++i) awaited.push_back(run(i));
    auto values = fit_job(record(run(9000), awaited), c.max_bytes);
    ASSERT_TRUE(values) << c.awaited;
    EXPECT_EQ(values->awaits.size(), c.keys) << c.awaited << " " << c.max_bytes;
    EXPECT_LE(value_bytes(to_json(values->record)), c.max_bytes);
    auto read = parse_job_record(wire::parse_json(wire::dump(to_json(values->record))));
    EXPECT_EQ(read.awaits_keys, c.keys);
    auto names = read.spec->awaits;
    for (const auto& piece : values->awaits) {
      auto j = wire::parse_json(wire::dump(to_json(piece)));
      EXPECT_LE(wire::dump(j).size(), c.max_bytes);
      auto some = parse_awaits_piece(j).awaits;
      names.insert(names.end(), some.begin(), some.end());
    }
    EXPECT_EQ(names, awaited);
  }
  // Without awaits a record is what it always was, and what doesn't fit by itself is refused.
  EXPECT_FALSE(to_json(record(run(1), {})).at("job").contains("awaits"));
  EXPECT_FALSE(fit_job(record(run(1), {}), 100));
  EXPECT_FALSE(fit_job(record(run(1), {run(2)}), 100));
}

// What each version writes, as the other reads it.
TEST(Versions, EachReadsTheOthersRecords) {
  // An end without a time, and a node that is alive without a version, come from before pipelines.
  auto ending = parse_ending(Json{{"end", "done"}, {"done", 3u}});
  EXPECT_EQ(ending.end, End::kDone);
  EXPECT_EQ(ending.at, WallMs());
  EXPECT_EQ(parse_alive(Json{{"up", true}}), 0u);
  EXPECT_EQ(parse_alive(alive_value()), kFormatVersion);
  EXPECT_EQ(parse_ending(to_json(Ending{End::kDone, 3, WallMs(77)})).at, WallMs(77));
  // Fields that are not known yet are ignored.
  EXPECT_EQ(parse_ending(Json{{"end", "cancelled"}, {"done", 0u}, {"later", 1}}).end, End::kCancelled);
  EXPECT_EQ(parse_alive(Json{{"up", true}, {"version", 9u}, {"later", {}}}), 9u);
  Versions shown{{NodeName("a"), 1}, {NodeName("b"), 0}};
  EXPECT_EQ(parse_versions(to_json(shown)), shown);
}

// Each version reads `node`, and those from 1 on `holder` as well: a role that is written in another field
// doesn't exist for them, and their claims conflict.
TEST(Versions, ARoleIsReadableFromTheVersionThatItNames) {
  const std::vector<std::string> holder_fields{"node", "holder", "owner"};
  for (std::uint32_t since = 0; since < holder_fields.size(); ++since) {
    Role role{NodeName("a"), Term(4), since};
    auto json = to_json(role);
    for (std::uint32_t field = 0; field < holder_fields.size(); ++field)
      EXPECT_EQ(json.contains(holder_fields[field]), field == since) << since;
    auto read = parse_role(json);
    EXPECT_EQ(read.readable_since, since);
    EXPECT_EQ(read.node, NodeName("a"));
    EXPECT_EQ(read.term, Term(4));
  }
  // As written by versions 0 and 1.
  EXPECT_EQ(parse_role(wire::parse_json(R"({"node":"a","term":4})")).readable_since, 0u);
  EXPECT_EQ(parse_role(wire::parse_json(R"({"holder":"a","term":4})")).readable_since, 1u);
  EXPECT_THROW(parse_role(wire::parse_json(R"({"custodian":"a","term":4})")), wire::WireError);
}

// A view to which records come one by one.
struct Records {
  View view;
  std::uint64_t revision = 10;
  void put(const std::string& key, Json value) { view.apply({key, std::move(value), Revision(++revision)}); }
  void job(const JobId& id, std::vector<JobId> awaits = {}) {
    put(job_key(id), to_json(record(id, std::move(awaits))));
  }
  void end(const JobId& id, End e, std::int64_t at = 0) {
    put(end_key(id), to_json(Ending{e, 0, WallMs(at)}));
  }
  void drop(const std::string& key) { view.apply({key, std::nullopt, Revision(++revision)}); }
  bool ready(const JobId& id) const { return view.dependencies().ready_since(id).has_value(); }
  bool cancelled(const JobId& id) const { return view.end(id) == End::kCancelled; }
  std::uint64_t effort() const { return view.dependencies().effort(); }
};

TEST(Versions, AllKnowOnceEachHasShownItAndNoneHasGoneBack) {
  const std::vector<NodeName> nodes{NodeName("a"), NodeName("b")};
  Records r;
  auto shown = [&](Versions v) { r.put(versions_key(), to_json(v)); };
  EXPECT_FALSE(r.view.all_know(1, nodes));
  shown({{NodeName("a"), 1}});
  EXPECT_FALSE(r.view.all_know(1, nodes));
  shown({{NodeName("a"), 1}, {NodeName("b"), 0}});
  EXPECT_FALSE(r.view.all_know(1, nodes));
  shown({{NodeName("a"), 1}, {NodeName("b"), 1}});
  EXPECT_TRUE(r.view.all_know(1, nodes));
  // One that is away for a while doesn't count against it, an old process that is back does.
  r.put(alive_key(NodeName("b")), Json{{"up", true}});
  EXPECT_FALSE(r.view.all_know(1, nodes));
  r.drop(alive_key(NodeName("b")));
  EXPECT_TRUE(r.view.all_know(1, nodes));
  r.put(alive_key(NodeName("b")), alive_value());
  EXPECT_TRUE(r.view.all_know(1, nodes));
}

// Pages are read one after the other, so a record may be read before its keys: until all are there the job
// isn't known, or it would start too early.
TEST(Awaits, AJobIsKnownOnceAllItsKeysAreRead) {
  std::vector<JobId> awaited;
  for (std::size_t i = 0; i < 300; ++i) awaited.push_back(run(i));
  auto values = fit_job(record(run(9000), awaited), 2048);
  ASSERT_TRUE(values);
  const auto keys = values->awaits.size();
  ASSERT_EQ(keys, 2u);
  // The record first, in the middle, and last.
  for (std::size_t place = 0; place <= keys; ++place) {
    Records r;
    for (std::size_t i = 0; i < 300; ++i) r.job(run(i));
    for (std::size_t k = 0; k <= keys; ++k) {
      EXPECT_FALSE(r.view.job(run(9000)) && k < keys) << place << " " << k;
      EXPECT_FALSE(r.ready(run(9000)));
      if (k == place) r.put(job_key(run(9000)), to_json(values->record));
      if (k < keys) r.put(awaits_key(run(9000), static_cast<std::uint32_t>(k)), to_json(values->awaits[k]));
    }
    ASSERT_TRUE(r.view.job(run(9000))) << place;
    EXPECT_EQ(r.view.job(run(9000))->record.spec->awaits, awaited);
    EXPECT_TRUE(r.view.dependencies().waiting(run(9000)));
    for (std::size_t i = 0; i < 299; ++i) r.end(run(i), End::kDone);
    EXPECT_FALSE(r.ready(run(9000)));
    if (place == 0) {
      r.end(run(299), End::kDone);
      EXPECT_TRUE(r.ready(run(9000)));
    } else {
      r.end(run(299), End::kCancelled);
      EXPECT_TRUE(r.cancelled(run(9000)));
    }
    // The record goes first, the keys after it.
    r.drop(job_key(run(9000)));
    EXPECT_EQ(r.view.awaits_keys(run(9000)).size(), keys);
    for (std::size_t k = 0; k < keys; ++k) r.drop(awaits_key(run(9000), static_cast<std::uint32_t>(k)));
    EXPECT_TRUE(r.view.all_awaits_keys().empty());
  }
}

TEST(Dependencies, ReadyOnlyOnceAllAreDone) {
  Records r;
  for (std::size_t i = 0; i < 3; ++i) r.job(run(i));
  r.job(run(9), {run(0), run(1), run(2)});
  r.end(run(1), End::kDone, 500);
  r.end(run(0), End::kDone, 400);
  EXPECT_FALSE(r.ready(run(9)));
  EXPECT_TRUE(r.view.dependencies().waiting(run(9)));
  r.view.take_touched();
  r.end(run(2), End::kDone);  // by a version that doesn't say when
  EXPECT_TRUE(r.view.take_touched().jobs.contains(run(9)));
  ASSERT_TRUE(r.ready(run(9)));
  EXPECT_EQ(*r.view.dependencies().ready_since(run(9)), WallMs(500));
  // Submitted when all are over and their records are dropped: ready at once.
  for (std::size_t i = 0; i < 3; ++i) r.drop(job_key(run(i)));
  r.job(run(10), {run(0), run(1), run(2)});
  EXPECT_TRUE(r.ready(run(10)));
  EXPECT_FALSE(r.view.end(run(10)));
}

TEST(Dependencies, CancellationReachesAllThatNeedTheJob) {
  struct Case {
    const char* what;
    std::vector<std::vector<std::size_t>> awaits;  // of each job
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
      auto write_end = [&] { r.end(run(c.cancelled), End::kCancelled); };
      auto write_jobs = [&](bool backwards) {
        for (std::size_t k = 0; k < c.awaits.size(); ++k) {
          auto i = backwards ? c.awaits.size() - 1 - k : k;
          std::vector<JobId> awaits;
          for (auto a : c.awaits[i]) awaits.push_back(run(a));
          r.job(run(i), awaits);
        }
      };
      if (order < 2) write_end();
      write_jobs(order % 2 == 1);
      if (order >= 2) write_end();
      for (std::size_t i = 0; i < c.awaits.size(); ++i) {
        bool want = i == c.cancelled || c.reached.contains(i);
        EXPECT_EQ(r.cancelled(run(i)), want) << c.what << ", order " << order << ", job " << i;
        EXPECT_FALSE(want && r.ready(run(i))) << c.what;
        auto by = want ? r.view.ending(run(c.cancelled)).version : Revision();
        EXPECT_EQ(r.view.ended_by(run(i)), by) << c.what;
      }
      EXPECT_EQ(r.view.dependencies().unrecorded().size(), c.reached.size()) << c.what;
    }
  }
}

// The leader records derived ends in any order and drops the records of jobs that have one. Whatever is left
// must tell the same.
TEST(Dependencies, StatesStandWhileEndsAreRecordedAndRecordsDropped) {
  constexpr std::size_t kJobs = 300;
  Records r;
  for (std::size_t i = 0; i < kJobs; ++i) r.job(run(i), i ? std::vector{run(i - 1)} : std::vector<JobId>{});
  r.end(run(0), End::kCancelled);
  for (std::size_t i = 0; i < kJobs; ++i) {
    auto id = run(i * 7 % kJobs);
    if (!r.view.ending(id).exists()) r.end(id, End::kCancelled);
    r.drop(job_key(id));
    for (std::size_t k = 0; k < kJobs; k += 11) ASSERT_TRUE(r.cancelled(run(k))) << i << " " << k;
  }
  EXPECT_TRUE(r.view.dependencies().unrecorded().empty());
  // Submitted afterwards, naming one in the middle: accepted, and cancelled at once.
  r.job(run(5000), {run(150)});
  EXPECT_TRUE(r.cancelled(run(5000)));
}

TEST(Dependencies, AnsweredDoneTheRestGoesOn) {
  Records r;
  r.job(run(0));
  r.job(run(1), {run(0)});
  r.job(run(2), {run(1)});
  r.end(run(0), End::kDone);
  // The cancellation came too late: the record that is there stands.
  EXPECT_FALSE(r.cancelled(run(1)));
  EXPECT_TRUE(r.ready(run(1)));
  EXPECT_FALSE(r.ready(run(2)));
  // The user calls off a job in the middle: what is behind it goes, what is before it stays done.
  r.end(run(1), End::kCancelled);
  EXPECT_TRUE(r.cancelled(run(2)));
  EXPECT_EQ(r.view.end(run(0)), End::kDone);
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
  auto before = r.effort();
  r.end(run(10007), End::kDone);
  EXPECT_LE(r.effort() - before, 1u);
  before = r.effort();
  r.end(run(10008), End::kCancelled);
  EXPECT_LE(r.effort() - before, 1u);
  before = r.effort();
  r.job(run(30000), {run(4999), run(10009)});
  EXPECT_LE(r.effort() - before, 2u);
  before = r.effort();
  r.end(run(0), End::kCancelled);
  EXPECT_LE(r.effort() - before, kChain + 1);
  EXPECT_TRUE(r.cancelled(run(4999)));
  EXPECT_TRUE(r.cancelled(run(30000)));
  EXPECT_FALSE(r.cancelled(run(20009)));
}

}  // namespace
}  // namespace beaconsill::store
