#include <gtest/gtest.h>

#include <map>

#include "state_store/pending_txns.h"
#include "state_store/state_view.h"
#include "state_store_fixture.h"

namespace beaconsill::state_store {
namespace {

using protocol::Json;

Instant at(double seconds) {
  return Instant{} + from_seconds(1000 + seconds);
}

Json job(const char* id, int tasks) {
  protocol::JobSpec spec;
  spec.id = JobId(id);
  spec.job_class = "c";
  spec.team = Team("blue");
  spec.tasks = static_cast<std::uint32_t>(tasks);
  spec.image = ImageName("i");
  return to_json(JobRecord{std::make_shared<const protocol::JobSpec>(spec), WallMs(5)});
}

protocol::Change set(std::string key, Json value, std::uint64_t revision) {
  return {std::move(key), std::move(value), Revision(revision)};
}

TEST(Records, SurviveTheRoundTrip) {
  Grants grants{{{Generation(3), ShardId(1), Term(7), Ranges::span(0, 4), Zone("z"), true, Attempt(9)},
                 {Generation(4), ShardId(0), Term(2), Ranges::span(4, 9), std::nullopt, false, {}}},
                Generation(4)};
  auto back = parse_grants(to_json(grants));
  EXPECT_EQ(back.chunks, grants.chunks);
  EXPECT_EQ(back.last, grants.last);
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

// A value over the state store's limit would stop the registration of its machines for good, and with it
// all that runs there. 8 KiB is the least limit seen; one controller's shard may have half the
// machines of 1,050.
TEST(Records, TheRegistryOfALargeShardFitsIntoItsValues) {
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

TEST(StateView, OutstandingIsGrantedLessDoneAndReleased) {
  JobId id("run-1");
  StateView view;
  view.apply(set(job_key(id), job("run-1", 10), 1));
  view.apply(set(grants_key(id),
                 to_json(Grants{{{Generation(1), ShardId(0), Term(1), Ranges::span(0, 4), {}, false, {}},
                                 {Generation(2), ShardId(1), Term(1), Ranges::span(4, 9), {}, false, {}}},
                                Generation(2)}),
                 2));
  EXPECT_EQ(view.job(id)->outstanding().str(), "0-8");
  view.apply(set(progress_key(ShardId(0), id),
                 to_json(Progress{Ranges::span(0, 2), {{Generation(1), Ranges::span(3, 4)}}}), 3));
  EXPECT_EQ(view.job(id)->outstanding(ShardId(0)).str(), "2");
  EXPECT_EQ(view.job(id)->outstanding().str(), "2,4-8");
  // A release counts for its generation only: granted again, the task is outstanding.
  view.apply(set(grants_key(id),
                 to_json(Grants{{{Generation(3), ShardId(0), Term(1), Ranges::span(3, 4), {}, false, {}}},
                                Generation(3)}),
                 4));
  EXPECT_EQ(view.job(id)->outstanding().str(), "3");
}

TEST(StateView, TheHighestVersionStandsInAnyOrder) {
  JobId id("run-1");
  StateView view;
  view.apply(set(terminal_key(id), to_json(TerminalRecord{TerminalState::kDone, 1}), 9));
  view.apply(set(terminal_key(id), to_json(TerminalRecord{TerminalState::kCancelled, 0}), 5));
  EXPECT_EQ(view.terminal_state(id), TerminalState::kDone);
  view.apply(set(shard_role_key(ShardId(0)), to_json(Role{ControllerName("a"), Term(2)}), 8));
  view.apply(set(shard_role_key(ShardId(0)), to_json(Role{ControllerName("b"), Term(1)}), 7));
  EXPECT_EQ(view.shard_role(ShardId(0)).value.controller, ControllerName("a"));
  view.apply(set(alive_key(ControllerName("a")), Json{{"up", true}}, 3));
  EXPECT_TRUE(view.alive(ControllerName("a")));
  view.apply({alive_key(ControllerName("a")), std::nullopt, Revision(10)});
  EXPECT_FALSE(view.alive(ControllerName("a")));
}

TEST(StateView, MalformedValuesAreDropped) {
  StateView view;
  for (const char* key : {"jobs/run-1", "grants/run-1", "progress/0/run-1", "ends/run-1", "roles/leader",
                          "machines/0/1", "machines/x/y", "novel/thing"})
    view.apply(set(std::string(kPrefix) + key, Json{{"odd", 1}}, 1));
  view.apply(set("elsewhere/jobs/run-1", job("run-1", 1), 2));
  EXPECT_EQ(view.job(JobId("run-1")), nullptr);
  EXPECT_FALSE(view.terminal_state(JobId("run-1")));
}

constexpr Duration ms(int count) {
  return std::chrono::milliseconds(count);
}

protocol::Txn create(const std::string& key, int writes = 1) {
  protocol::Txn txn;
  for (int i = 0; i < writes; ++i) {
    auto name = std::string(kPrefix) + "test/" + key + std::to_string(i);
    txn.conditions.push_back({name, Revision()});
    txn.writes.push_back({name, Json{{"key", key}}, std::nullopt});
  }
  return txn;
}

// What the changes of a read show of a transaction of two writes that has no response.
TEST(PendingTxns, AppliedOnlyIfAllWritesAreThereUnderOneLaterRevision) {
  struct Case {
    const char* what;
    std::vector<protocol::Change> changes;
    bool sent;
    std::optional<Revision> applied;
  };
  const Json one{{"v", 1}}, other{{"v", 2}};
  const Case cases[] = {
      {"both there", {{"a", one, Revision(6)}, {"b", {}, Revision(6)}}, true, Revision(6)},
      {"nothing there", {}, true, {}},
      {"only one there", {{"a", one, Revision(6)}}, true, {}},
      {"another value", {{"a", other, Revision(6)}, {"b", {}, Revision(6)}}, true, {}},
      {"set instead of dropped", {{"a", one, Revision(6)}, {"b", one, Revision(6)}}, true, {}},
      {"dropped instead of set", {{"a", {}, Revision(6)}, {"b", {}, Revision(6)}}, true, {}},
      {"under two revisions", {{"a", one, Revision(6)}, {"b", {}, Revision(7)}}, true, {}},
      {"known before it was sent", {{"a", one, Revision(5)}, {"b", {}, Revision(5)}}, true, {}},
      {"not sent yet", {{"a", one, Revision(6)}, {"b", {}, Revision(6)}}, false, {}},
      {"among others, later overwritten",
       {{"c", one, Revision(6)}, {"a", one, Revision(7)}, {"b", {}, Revision(7)}, {"a", other, Revision(8)}},
       true,
       Revision(7)},
  };
  for (const auto& test_case : cases) {
    PendingTxns pending;
    std::optional<Revision> applied;
    auto id =
        pending.add({{}, {{"a", one, {}}, {"b", {}, {}}}}, [&](TxnResult result) { applied = *result; });
    if (test_case.sent) pending.sent(id, Revision(5), at(0));
    EXPECT_EQ(pending.oldest_sent().has_value(), test_case.sent) << test_case.what;
    for (auto& found : pending.take_applied(test_case.changes)) found.done(found.revision);
    EXPECT_EQ(applied, test_case.applied) << test_case.what;
    EXPECT_EQ(static_cast<bool>(pending.take(id)), !test_case.applied)
        << test_case.what;  // its own answer is then dropped
  }
}

// Status requests must not stand behind submissions that are refused.
TEST(StoreClient, ReadsDoNotWaitForTheRateLimitOfChanges) {
  StateStoreFixture fixture({1000, 4});
  for (int i = 0; i < 12; ++i)
    fixture.client->txn(create("x" + std::to_string(i)), Urgency::kUserRequest, [](TxnResult) {});
  bool read = false;
  fixture.client->get(protocol::watch_target(kPrefix, Revision(), 0), Urgency::kUserRequest,
                      [&](ReadResult result) {
                        EXPECT_TRUE(result);
                        read = true;
                      });
  EXPECT_LT(fixture.run_until([&] { return read; }), ms(300));
  EXPECT_GT(fixture.client->write_wait(Urgency::kUserRequest), ms(1000));
}

// Changes of a user that can't be sent soon are refused, and never sent.
TEST(StoreClient, AUsersChangeWaitsNoLongerThanItsQueueWait) {
  StateStoreFixture fixture({1000, 2});
  int refused = 0, ok = 0;
  for (int i = 0; i < 12; ++i)
    fixture.client->txn(
        create("x" + std::to_string(i)), Urgency::kUserRequest,
        [&](TxnResult result) { ++(result == tl::unexpected(TxnError::kRefused) ? refused : ok); },
        {ms(600), {}});
  EXPECT_LT(fixture.run_until([&] { return refused + ok == 12; }), ms(900));
  EXPECT_GT(refused, 6);
  EXPECT_EQ(fixture.state.requests["/txn"], ok);
}

// As many lost responses as users' changes in a second must not take all connections from the reads.
TEST(StoreClient, LostResponsesLeaveConnectionsForReads) {
  StateStoreFixture fixture;
  fixture.state.drop_txn_responses = true;
  for (int i = 0; i < 20; ++i)
    fixture.client->txn(create("x" + std::to_string(i)), Urgency::kUserRequest, [](TxnResult) {});
  bool read = false;
  fixture.client->get(protocol::watch_target(kPrefix, Revision(), 0), Urgency::kUserRequest,
                      [&](ReadResult) { read = true; });
  EXPECT_LT(fixture.run_until([&] { return read; }), ms(500));
  EXPECT_TRUE(fixture.client->available());
}

// A lost response is read back from what is stored, long before its timeout; one read serves all that are
// late.
TEST(WatchCache, ALostResponseIsReadBack) {
  StateStoreFixture fixture;
  fixture.state.drop_txn_responses = true;
  auto reads = fixture.state.requests["/watch"];
  int ok = 0;
  for (int i = 0; i < 10; ++i)
    fixture.watch_cache->commit(create("x" + std::to_string(i), 1 + i % 3), Urgency::kUserRequest,
                                [&](TxnResult result) {
                                  ASSERT_TRUE(result);
                                  EXPECT_GT(*result, Revision());
                                  ++ok;
                                });
  EXPECT_LT(fixture.run_until([&] { return ok == 10; }), ms(350));
  EXPECT_LE(fixture.state.requests["/watch"] - reads, 4);
  fixture.state.unanswered.clear();
}

// What was not carried out yet proves nothing: it's unknown, and no sooner than its timeout.
TEST(WatchCache, WhatIsNotFoundStaysUnknown) {
  StateStoreFixture fixture;
  fixture.state.ignore_requests = true;
  std::optional<TxnResult> result;
  bool sent_again = false;
  fixture.watch_cache->commit(create("x"), Urgency::kUserRequest,
                              [&](TxnResult received) { result = received; });
  fixture.io.run_for(ms(50));
  fixture.state.ignore_requests = false;  // reads are answered from here on, and show nothing
  EXPECT_GT(fixture.run_until([&] { return result.has_value(); }), ms(1000));
  EXPECT_TRUE(*result == tl::unexpected(TxnError::kUnknown));
  fixture.watch_cache->commit(create("x"), Urgency::kUserRequest,
                              [&](TxnResult received) { sent_again = received.has_value(); });
  fixture.run_until([&] { return sent_again; });
}

// Whatever keeps the state store from responding, the controller knows it soon, and soon knows when it is
// over.
TEST(WatchCache, KnowsWhetherItsReadsAreAnswered) {
  struct Case {
    const char* what;
    std::function<void(fakes::StateStore&, bool)> fail;
  };
  const Case cases[] = {
      {"an outage", [](auto& store, bool on) { store.down = on; }},
      {"this controller alone is refused", [](auto& store, bool on) { store.server_unavailable[0] = on; }},
      {"connections stay open with no response", [](auto& store, bool on) { store.ignore_requests = on; }},
  };
  for (const auto& test_case : cases) {
    SCOPED_TRACE(test_case.what);
    StateStoreFixture fixture;
    fixture.run_until([&] { return fixture.watch_cache->is_responsive(); });
    test_case.fail(fixture.state, true);
    EXPECT_LT(fixture.run_until([&] { return !fixture.watch_cache->is_responsive(); }), ms(1000));
    fixture.io.run_for(ms(1000));
    EXPECT_FALSE(fixture.watch_cache->is_responsive());
    // However many syncs wait, the reads are probes of a few a second.
    auto refused = fixture.state.refused["/watch"];
    bool failing = true;
    for (int i = 0; i < 200; ++i) {
      fixture.watch_cache->sync([&](bool ok) { EXPECT_FALSE(ok && failing); });
      fixture.io.run_for(ms(5));
    }
    failing = false;
    EXPECT_LE(fixture.state.refused["/watch"] - refused, 4);
    test_case.fail(fixture.state, false);
    if (!fixture.state.unanswered.empty()) {  // what was held is answered late
      for (auto& reply : fixture.state.unanswered) reply({503, "{}"});
      fixture.state.unanswered.clear();
    }
    EXPECT_LT(fixture.run_until([&] { return fixture.watch_cache->is_responsive(); }), ms(550));
  }
}

}  // namespace
}  // namespace beaconsill::state_store
