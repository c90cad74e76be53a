// Tests of the records in the state store, of the view of them, and of the client and the watch cache against
// a fake state store on loopback.
#include <gtest/gtest.h>

#include <map>

#include "state_store/pending_txns.h"
#include "state_store/state_view.h"
#include "state_store_fixture.h"

namespace beaconsill::state_store {
namespace {

using protocol::Json;

Instant at_seconds(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

Json job_value(const char* id, int tasks) {
  protocol::JobSpec spec;
  spec.id = JobId(id);
  spec.job_class = "c";
  spec.team = Team("blue");
  spec.tasks = static_cast<std::uint32_t>(tasks);
  spec.image = ImageName("i");
  return to_json(JobRecord{std::make_shared<const protocol::JobSpec>(spec), WallMs(5)});
}

protocol::Change set_change(std::string key, Json value, std::uint64_t revision) {
  return {std::move(key), std::move(value), Revision(revision)};
}

TEST(Records, ParsingAnEncodedRecordReturnsAnEqualRecord) {
  Grants grants{{{Generation(3), ShardId(1), Term(7), Ranges::span(0, 4), Zone("z"), true, Attempt(9)},
                 {Generation(4), ShardId(0), Term(2), Ranges::span(4, 9), std::nullopt, false, {}}},
                Generation(4)};
  auto parsed_grants = parse_grants(to_json(grants));
  EXPECT_EQ(parsed_grants.chunks, grants.chunks);
  EXPECT_EQ(parsed_grants.last, grants.last);
  Progress progress{Ranges::span(0, 3), {{Generation(3), Ranges::span(3, 4)}}};
  EXPECT_EQ(parse_progress(to_json(progress)), progress);
  std::vector<MachineRecord> machines{
      {MachineName("m"), MachineType("t"), Zone("z"), true, "10.0.0.1:9", true},
      {MachineName("n"), MachineType("t"), Zone("z")}};
  EXPECT_EQ(parse_machines(to_json(machines)), machines);
  EXPECT_EQ(parse_terminal_record(to_json(TerminalRecord{TerminalState::kCancelled, 4})).done, 4u);
  EXPECT_THROW(parse_grants(Json{{"last", 1}, {"chunks", 7}}), protocol::ProtocolError);
  EXPECT_THROW(parse_progress(Json{{"done", "5-1"}, {"returned", Json::array()}}), protocol::ProtocolError);
}

// A registry value over the state store's size limit is rejected on each attempt, so that its machines would
// never be registered and never run tasks. The lowest limit seen is 8 KiB. One controller's shard may have
// half of 1,050 machines.
TEST(Records, RegistryValuesOfALargeShardStayBelowTheValueSizeLimit) {
  std::map<std::uint32_t, std::vector<MachineRecord>> buckets;
  for (int i = 0; i < 525; ++i) {
    MachineName name("host-" + std::to_string(100000 + i));
    buckets[machine_bucket(name)].push_back({name, MachineType("a-type-of-thirty-characters-xx"),
                                             Zone("a-zone-of-thirty-characters-xx"), true,
                                             "10.100.100.100:10000", true});
  }
  EXPECT_LE(buckets.rbegin()->first, kMachineBuckets - 1);
  for (const auto& [bucket, machines] : buckets)
    EXPECT_LE(to_json(machines).dump().size(), 8 * 1024 * 0.9) << bucket;
}

TEST(StateView, OutstandingTasksAreTheGrantedOnesThatAreNeitherDoneNorReleased) {
  JobId id("run-1");
  StateView view;
  view.apply(set_change(job_key(id), job_value("run-1", 10), 1));
  view.apply(
      set_change(grants_key(id),
                 to_json(Grants{{{Generation(1), ShardId(0), Term(1), Ranges::span(0, 4), {}, false, {}},
                                 {Generation(2), ShardId(1), Term(1), Ranges::span(4, 9), {}, false, {}}},
                                Generation(2)}),
                 2));
  EXPECT_EQ(view.job(id)->outstanding().str(), "0-8");
  view.apply(set_change(progress_key(ShardId(0), id),
                        to_json(Progress{Ranges::span(0, 2), {{Generation(1), Ranges::span(3, 4)}}}), 3));
  EXPECT_EQ(view.job(id)->outstanding(ShardId(0)).str(), "2");
  EXPECT_EQ(view.job(id)->outstanding().str(), "2,4-8");
  // A release only applies to its own generation: a released task that is granted again is outstanding.
  view.apply(
      set_change(grants_key(id),
                 to_json(Grants{{{Generation(3), ShardId(0), Term(1), Ranges::span(3, 4), {}, false, {}}},
                                Generation(3)}),
                 4));
  EXPECT_EQ(view.job(id)->outstanding().str(), "3");
}

TEST(StateView, KeepsTheChangeWithTheHighestRevisionRegardlessOfOrder) {
  JobId id("run-1");
  StateView view;
  view.apply(set_change(terminal_key(id), to_json(TerminalRecord{TerminalState::kDone, 1}), 9));
  view.apply(set_change(terminal_key(id), to_json(TerminalRecord{TerminalState::kCancelled, 0}), 5));
  EXPECT_EQ(view.terminal_state(id), TerminalState::kDone);
  view.apply(set_change(shard_role_key(ShardId(0)), to_json(Role{ControllerName("a"), Term(2)}), 8));
  view.apply(set_change(shard_role_key(ShardId(0)), to_json(Role{ControllerName("b"), Term(1)}), 7));
  EXPECT_EQ(view.shard_role(ShardId(0)).value.controller, ControllerName("a"));
  view.apply(set_change(alive_key(ControllerName("a")), Json{{"up", true}}, 3));
  EXPECT_TRUE(view.alive(ControllerName("a")));
  view.apply({alive_key(ControllerName("a")), std::nullopt, Revision(10)});
  EXPECT_FALSE(view.alive(ControllerName("a")));
}

TEST(StateView, IgnoresMalformedValuesAndUnknownKeys) {
  StateView view;
  for (const char* key : {"jobs/run-1", "grants/run-1", "progress/0/run-1", "ends/run-1", "roles/leader",
                          "machines/0/1", "machines/x/y", "unknown/key"})
    view.apply(set_change(std::string(kKeyPrefix) + key, Json{{"unexpected", 1}}, 1));
  view.apply(set_change("elsewhere/jobs/run-1", job_value("run-1", 1), 2));
  EXPECT_EQ(view.job(JobId("run-1")), nullptr);
  EXPECT_FALSE(view.terminal_state(JobId("run-1")));
}

constexpr Duration ms(int count) {
  return std::chrono::milliseconds(count);
}

// A transaction that creates keys with this name and a number.
protocol::Txn create_keys(const std::string& key, int writes = 1) {
  protocol::Txn txn;
  for (int i = 0; i < writes; ++i) {
    auto name = std::string(kKeyPrefix) + "test/" + key + std::to_string(i);
    txn.conditions.push_back({name, Revision()});
    txn.writes.push_back({name, Json{{"key", key}}, std::nullopt});
  }
  return txn;
}

// The transaction sets key `a` and deletes key `b`, and has no response.
TEST(PendingTxns, FindsATransactionAppliedOnlyIfAllItsWritesHaveOneLaterRevision) {
  struct Case {
    const char* description;
    std::vector<protocol::Change> changes;
    bool sent;
    std::optional<Revision> applied_revision;
  };
  const Json written_value{{"v", 1}}, other_value{{"v", 2}};
  const Case cases[] = {
      {"both writes found", {{"a", written_value, Revision(6)}, {"b", {}, Revision(6)}}, true, Revision(6)},
      {"no write found", {}, true, {}},
      {"only one write found", {{"a", written_value, Revision(6)}}, true, {}},
      {"another value was set", {{"a", other_value, Revision(6)}, {"b", {}, Revision(6)}}, true, {}},
      {"key was set instead of deleted",
       {{"a", written_value, Revision(6)}, {"b", written_value, Revision(6)}},
       true,
       {}},
      {"key was deleted instead of set", {{"a", {}, Revision(6)}, {"b", {}, Revision(6)}}, true, {}},
      {"under two revisions", {{"a", written_value, Revision(6)}, {"b", {}, Revision(7)}}, true, {}},
      {"revision was known before the transaction was sent",
       {{"a", written_value, Revision(5)}, {"b", {}, Revision(5)}},
       true,
       {}},
      {"transaction not sent yet", {{"a", written_value, Revision(6)}, {"b", {}, Revision(6)}}, false, {}},
      {"both writes found among other changes, one overwritten later",
       {{"c", written_value, Revision(6)},
        {"a", written_value, Revision(7)},
        {"b", {}, Revision(7)},
        {"a", other_value, Revision(8)}},
       true,
       Revision(7)},
  };
  for (const auto& test_case : cases) {
    PendingTxns pending;
    std::optional<Revision> applied;
    auto id = pending.add({{}, {{"a", written_value, {}}, {"b", {}, {}}}},
                          [&](TxnResult result) { applied = *result; });
    if (test_case.sent) pending.mark_sent(id, Revision(5), at_seconds(0));
    EXPECT_EQ(pending.oldest_sent().has_value(), test_case.sent) << test_case.description;
    for (auto& found : pending.take_applied(test_case.changes)) found.done(found.revision);
    EXPECT_EQ(applied, test_case.applied_revision) << test_case.description;
    EXPECT_EQ(static_cast<bool>(pending.take(id)), !test_case.applied_revision)
        << test_case.description;  // the transaction's own response is ignored from then on
  }
}

// Status requests must not be delayed by submissions that wait for the write rate limit and are then refused.
TEST(StoreClient, ReadsDoNotWaitForTheWriteRateLimit) {
  StateStoreFixture fixture({1000, 4});
  for (int i = 0; i < 12; ++i)
    fixture.client->txn(create_keys("x" + std::to_string(i)), Urgency::kUserRequest, [](TxnResult) {});
  bool read = false;
  fixture.client->get(protocol::watch_target(kKeyPrefix, Revision(), 0), Urgency::kUserRequest,
                      [&](ReadResult result) {
                        EXPECT_TRUE(result);
                        read = true;
                      });
  EXPECT_LT(fixture.run_until([&] { return read; }), ms(300));
  EXPECT_GT(fixture.client->write_wait(Urgency::kUserRequest), ms(1000));
}

// User transactions that can't be sent within their queue wait are refused and never sent later.
TEST(StoreClient, TransactionsAreRefusedAfterTheirQueueWait) {
  StateStoreFixture fixture({1000, 2});
  int refused = 0, succeeded = 0;
  for (int i = 0; i < 12; ++i)
    fixture.client->txn(
        create_keys("x" + std::to_string(i)), Urgency::kUserRequest,
        [&](TxnResult result) { ++(result == tl::unexpected(TxnError::kNotExecuted) ? refused : succeeded); },
        {ms(600), {}});
  EXPECT_LT(fixture.run_until([&] { return refused + succeeded == 12; }), ms(900));
  EXPECT_GT(refused, 6);
  EXPECT_EQ(fixture.state.requests["/txn"], succeeded);
}

// Each transaction without a response occupies a connection. Lost responses to the user transactions of one
// second must leave connections for reads.
TEST(StoreClient, LostResponsesLeaveConnectionsForReads) {
  StateStoreFixture fixture;
  fixture.state.drop_txn_responses = true;
  for (int i = 0; i < 20; ++i)
    fixture.client->txn(create_keys("x" + std::to_string(i)), Urgency::kUserRequest, [](TxnResult) {});
  bool read = false;
  fixture.client->get(protocol::watch_target(kKeyPrefix, Revision(), 0), Urgency::kUserRequest,
                      [&](ReadResult) { read = true; });
  EXPECT_LT(fixture.run_until([&] { return read; }), ms(500));
  EXPECT_TRUE(fixture.client->available());
}

// If the response to an applied transaction is lost, a read shows that it was applied, long before the
// transaction times out. One read serves all transactions whose responses are late.
TEST(WatchCache, ATransactionWithALostResponseIsFoundByARead) {
  StateStoreFixture fixture;
  fixture.state.drop_txn_responses = true;
  auto reads_before = fixture.state.requests["/watch"];
  int succeeded = 0;
  for (int i = 0; i < 10; ++i)
    fixture.watch_cache->commit(create_keys("x" + std::to_string(i), 1 + i % 3), Urgency::kUserRequest,
                                [&](TxnResult result) {
                                  ASSERT_TRUE(result);
                                  EXPECT_GT(*result, Revision());
                                  ++succeeded;
                                });
  EXPECT_LT(fixture.run_until([&] { return succeeded == 10; }), ms(350));
  EXPECT_LE(fixture.state.requests["/watch"] - reads_before, 4);
  fixture.state.unanswered.clear();
}

// A transaction that reads don't show may still be applied later, so its result is reported as unknown, and
// only after its timeout.
TEST(WatchCache, ATransactionThatReadsDoNotShowStaysUnknownUntilItsTimeout) {
  StateStoreFixture fixture;
  fixture.state.ignore_requests = true;
  std::optional<TxnResult> result;
  bool second_succeeded = false;
  fixture.watch_cache->commit(create_keys("x"), Urgency::kUserRequest,
                              [&](TxnResult received) { result = received; });
  fixture.io.run_for(ms(50));
  fixture.state.ignore_requests =
      false;  // from here on reads are answered, and don't contain the transaction
  EXPECT_GT(fixture.run_until([&] { return result.has_value(); }), ms(1000));
  EXPECT_TRUE(*result == tl::unexpected(TxnError::kUnknown));
  fixture.watch_cache->commit(create_keys("x"), Urgency::kUserRequest,
                              [&](TxnResult received) { second_succeeded = received.has_value(); });
  fixture.run_until([&] { return second_succeeded; });
}

// Whatever prevents the state store from responding, the watch cache must report within 1 s that it is
// unresponsive, and within 550 ms after the fault has ended that it is responsive again.
TEST(WatchCache, IsUnresponsiveWhileItsReadsAreNotAnswered) {
  struct Case {
    const char* description;
    std::function<void(fakes::StateStore&, bool)> set_fault;
  };
  const Case cases[] = {
      {"state store outage", [](auto& store, bool on) { store.down = on; }},
      {"only this controller is refused", [](auto& store, bool on) { store.server_unavailable[0] = on; }},
      {"connections stay open with no response", [](auto& store, bool on) { store.ignore_requests = on; }},
  };
  for (const auto& test_case : cases) {
    SCOPED_TRACE(test_case.description);
    StateStoreFixture fixture;
    fixture.run_until([&] { return fixture.watch_cache->is_responsive(); });
    test_case.set_fault(fixture.state, true);
    EXPECT_LT(fixture.run_until([&] { return !fixture.watch_cache->is_responsive(); }), ms(1000));
    fixture.io.run_for(ms(1000));
    EXPECT_FALSE(fixture.watch_cache->is_responsive());
    // While reads fail, only a few per second are sent as probes, however many syncs are pending.
    auto refused_before = fixture.state.refused["/watch"];
    bool fault_active = true;
    for (int i = 0; i < 200; ++i) {
      fixture.watch_cache->sync([&](bool ok) { EXPECT_FALSE(ok && fault_active); });
      fixture.io.run_for(ms(5));
    }
    fault_active = false;
    EXPECT_LE(fixture.state.refused["/watch"] - refused_before, 4);
    test_case.set_fault(fixture.state, false);
    if (!fixture.state.unanswered.empty()) {  // the requests without a response are answered late
      for (auto& reply : fixture.state.unanswered) reply({503, "{}"});
      fixture.state.unanswered.clear();
    }
    EXPECT_LT(fixture.run_until([&] { return fixture.watch_cache->is_responsive(); }), ms(550));
  }
}

}  // namespace
}  // namespace beaconsill::state_store
