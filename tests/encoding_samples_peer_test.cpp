// Guards the encodings of messages between controllers against unintended changes: encoded messages are
// compared byte by byte with samples. Further samples are messages of the version in production (commit
// 60b8ce84) that have fewer fields; they must still be decoded.
#include <gtest/gtest.h>

#include "protocol/peer.h"

namespace beaconsill::protocol {
namespace {

// The payload of a message and the expected bytes of the message, in hexadecimal and grouped by Cap'n Proto
// words of 8 bytes.
struct Sample {
  const char* name;
  PeerPayload payload;
  const char* words;
};

std::string to_words(std::string_view bytes) {
  constexpr std::size_t kWordBytes = 8;
  constexpr const char* kDigits = "0123456789abcdef";
  std::string words;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    if (i > 0 && i % kWordBytes == 0) words += ' ';
    const auto byte = static_cast<unsigned char>(bytes[i]);
    words += kDigits[byte / 16];
    words += kDigits[byte % 16];
  }
  return words;
}

std::string from_words(std::string_view words) {
  std::string bytes;
  for (std::size_t i = 0; i < words.size(); i += words[i] == ' ' ? 1 : 2)
    if (words[i] != ' ') bytes += static_cast<char>(std::stoi(std::string(words.substr(i, 2)), nullptr, 16));
  return bytes;
}

std::string encode(const PeerPayload& payload) {
  return to_words(encode_peer({ControllerName("n1"), payload}));
}

// Decodes the sample and encodes the result again. Returns an empty string if decoding fails.
std::string decode_and_encode(const char* words) {
  const auto message = decode_peer(from_words(words));
  return message ? to_words(encode_peer(*message)) : std::string();
}

void expect_samples(const std::vector<Sample>& samples) {
  for (const auto& sample : samples) {
    EXPECT_EQ(encode(sample.payload), sample.words) << sample.name;
    EXPECT_EQ(decode_and_encode(sample.words), sample.words) << sample.name;
  }
}

Ranges parse_tasks(const char* text) {
  return Ranges::parse(text).value();
}

Heartbeat heartbeat_with_cancellation_sync() {
  const CancellationSync cancellation_sync{
      true,
      Revision(30),
      std::chrono::milliseconds(7500),
      true,
      {{Revision(31), JobId("run-1"), 4}, {Revision(40), JobId("run-000412"), 0}}};
  return {Revision(5), {{ShardId(1), Term(9)}, {ShardId(2), Term(41)}}, 11, 12, true, cancellation_sync};
}

Heartbeat heartbeat_without_cancellation_sync() {
  return {Revision(UINT64_MAX), {{ShardId(1), Term(9)}}, 11, 12, true, std::nullopt};
}

ResourceRequest resource_request_with(Priority priority) {
  return {{1, 0.5, 2},
          std::vector<MachineType>{MachineType("g8"), MachineType("g16")},
          Zone("a"),
          true,
          ImageName("img-07"),
          priority,
          7};
}

EstimateResponse estimate_response() {
  return {4, ShardId(2), Term(3), Revision(6), {{{Zone("a"), 1, 2, 3, 4}, {Zone("b"), 5, 6, 7, 8}}, {}}};
}

Summary summary() {
  return {ShardId(1),
          Term(2),
          Revision(3),
          {{MachineName("host-1"), MachineType("g8"), Zone("a"), true, {1, 2, 3.5}, 4.5, false}},
          {{JobId("run-1"), 6}},
          8,
          true};
}

ProgressReport progress_report(JobHealth health) {
  return {ShardId(1),
          Term(4),
          {{JobId("run-1"), parse_tasks("0-6,9"), {{Generation(3), parse_tasks("10-12")}}, health}}};
}

TEST(PeerHeartbeatEncoding, EncodedMessagesMatchTheSamples) {
  expect_samples({
      {"all fields", heartbeat_with_cancellation_sync(),
       "000000001d000000 0000000001000200 0000000000000000 050000001a000000 0400000004000200 "
       "6e31000000000000 0500000000000000 0b00000000000000 0c00000000000000 0100000000000000 "
       "3900000027000000 0000000002000100 030000004c1d0000 1e00000000000000 0100000037000000 "
       "0800000002000100 1f00000000000000 0400000000000000 0d00000032000000 2800000000000000 "
       "0000000000000000 050000005a000000 72756e2d31000000 72756e2d30303034 3132000000000000 "
       "0800000002000000 0100000000000000 0900000000000000 0200000000000000 2900000000000000"},
      {"no cancellation sync, acknowledged revision unknown", heartbeat_without_cancellation_sync(),
       "000000000e000000 0000000001000200 0000000000000000 050000001a000000 0400000004000200 "
       "6e31000000000000 ffffffffffffffff 0b00000000000000 0c00000000000000 0100000000000000 "
       "0500000017000000 0000000000000000 0400000002000000 0100000000000000 0900000000000000"},
  });
}

TEST(ChangeNotificationEncoding, EncodedMessagesMatchTheSamples) {
  expect_samples({{"all fields", ChangeNotification{Revision(8)},
                   "0000000006000000 0000000001000200 0100000000000000 050000001a000000 0400000001000000 "
                   "6e31000000000000 0800000000000000"}});
}

TEST(EstimateRequestEncoding, EncodedMessagesMatchTheSamples) {
  expect_samples({
      {"all fields", EstimateRequest{4, {resource_request_with(Priority::kHigh)}},
       "0000000015000000 0000000001000200 0200000000000000 050000001a000000 0400000001000100 "
       "6e31000000000000 0400000000000000 010000003f000000 0400000004000300 000000000000f03f "
       "000000000000e03f 0000000000000040 0202000007000000 0900000016000000 1500000012000000 "
       "150000003a000000 050000001a000000 0500000022000000 6738000000000000 6731360000000000 "
       "6100000000000000 696d672d30370000"},
      {"any type, no zone", EstimateRequest{4, {ResourceRequest{}}},
       "0000000010000000 0000000001000200 0200000000000000 050000001a000000 0400000001000100 "
       "6e31000000000000 0400000000000000 010000003f000000 0400000004000300 0000000000000000 "
       "0000000000000000 0000000000000000 0101000000000000 0000000000000000 0000000000000000 "
       "010000000a000000 0000000000000000"},
      {"lowest priority", EstimateRequest{4, {resource_request_with(Priority::kLow)}},
       "0000000015000000 0000000001000200 0200000000000000 050000001a000000 0400000001000100 "
       "6e31000000000000 0400000000000000 010000003f000000 0400000004000300 000000000000f03f "
       "000000000000e03f 0000000000000040 0200000007000000 0900000016000000 1500000012000000 "
       "150000003a000000 050000001a000000 0500000022000000 6738000000000000 6731360000000000 "
       "6100000000000000 696d672d30370000"},
      {"highest priority", EstimateRequest{4, {resource_request_with(Priority::kProduction)}},
       "0000000015000000 0000000001000200 0200000000000000 050000001a000000 0400000001000100 "
       "6e31000000000000 0400000000000000 010000003f000000 0400000004000300 000000000000f03f "
       "000000000000e03f 0000000000000040 0203000007000000 0900000016000000 1500000012000000 "
       "150000003a000000 050000001a000000 0500000022000000 6738000000000000 6731360000000000 "
       "6100000000000000 696d672d30370000"},
  });
}

TEST(EstimateResponseEncoding, EncodedMessagesMatchTheSamples) {
  expect_samples({{"all fields", estimate_response(),
                   "0000000017000000 0000000001000200 0300000000000000 050000001a000000 0400000004000100 "
                   "6e31000000000000 0400000000000000 0200000000000000 0300000000000000 0600000000000000 "
                   "0100000017000000 0800000000000100 0500000037000000 2500000007000000 0800000002000100 "
                   "0100000002000000 0300000004000000 0d00000012000000 0500000006000000 0700000008000000 "
                   "0500000012000000 6100000000000000 6200000000000000 0000000002000100"}});
}

TEST(SummaryEncoding, EncodedMessagesMatchTheSamples) {
  expect_samples({{"all fields", summary(),
                   "000000001b000000 0000000001000200 0400000000000000 050000001a000000 0400000004000200 "
                   "6e31000000000000 0100000008000000 0200000000000000 0300000000000000 0100000000000000 "
                   "0500000047000000 3100000017000000 0400000005000300 0100000000000000 000000000000f03f "
                   "0000000000000040 0000000000000c40 0000000000001240 090000003a000000 090000001a000000 "
                   "0900000012000000 686f73742d310000 6738000000000000 6100000000000000 0400000001000100 "
                   "0600000000000000 0100000032000000 72756e2d31000000"}});
}

TEST(ReleaseMachinesEncoding, EncodedMessagesMatchTheSamples) {
  expect_samples({{"two machines", ReleaseMachines{{MachineName("host-1"), MachineName("host-2")}},
                   "000000000a000000 0000000001000200 0500000000000000 050000001a000000 0400000000000100 "
                   "6e31000000000000 0100000016000000 050000003a000000 050000003a000000 686f73742d310000 "
                   "686f73742d320000"}});
}

TEST(TerminatedMachinesEncoding, EncodedMessagesMatchTheSamples) {
  expect_samples({{"two machines", TerminatedMachines{{MachineName("host-1"), MachineName("host-2")}},
                   "000000000a000000 0000000001000200 0600000000000000 050000001a000000 0400000000000100 "
                   "6e31000000000000 0100000016000000 050000003a000000 050000003a000000 686f73742d310000 "
                   "686f73742d320000"}});
}

TEST(RelayedHeartbeatEncoding, EncodedMessagesMatchTheSamples) {
  expect_samples({{"all fields", RelayedHeartbeat{5, R"({"beacon":"host-1"})"},
                   "000000000a000000 0000000001000200 0700000000000000 050000001a000000 0400000001000100 "
                   "6e31000000000000 0500000000000000 01000000a2000000 7b22626561636f6e 223a22686f73742d "
                   "31227d0000000000"}});
}

TEST(RelayedReplyEncoding, EncodedMessagesMatchTheSamples) {
  expect_samples({{"all fields", RelayedReply{5, 421, R"({"keeper":"n2"})"},
                   "000000000a000000 0000000001000200 0800000000000000 050000001a000000 0400000002000100 "
                   "6e31000000000000 0500000000000000 a501000000000000 0100000082000000 7b226b6565706572 "
                   "223a226e32227d00"}});
}

TEST(ProgressReportEncoding, EncodedMessagesMatchTheSamples) {
  expect_samples({
      {"no health finding", progress_report(JobHealth::kNone),
       "0000000013000000 0000000001000200 0900000000000000 050000001a000000 0400000002000100 "
       "6e31000000000000 0100000000000000 0400000000000000 0100000027000000 0400000001000300 "
       "0000000000000000 0900000032000000 0900000032000000 0900000017000000 72756e2d31000000 "
       "302d362c39000000 0400000001000100 0300000000000000 0100000032000000 31302d3132000000"},
      {"failing job", progress_report(JobHealth::kFailing),
       "0000000013000000 0000000001000200 0900000000000000 050000001a000000 0400000002000100 "
       "6e31000000000000 0100000000000000 0400000000000000 0100000027000000 0400000001000300 "
       "0100000000000000 0900000032000000 0900000032000000 0900000017000000 72756e2d31000000 "
       "302d362c39000000 0400000001000100 0300000000000000 0100000032000000 31302d3132000000"},
      {"healthy job", progress_report(JobHealth::kHealthy),
       "0000000013000000 0000000001000200 0900000000000000 050000001a000000 0400000002000100 "
       "6e31000000000000 0100000000000000 0400000000000000 0100000027000000 0400000001000300 "
       "0200000000000000 0900000032000000 0900000032000000 0900000017000000 72756e2d31000000 "
       "302d362c39000000 0400000001000100 0300000000000000 0100000032000000 31302d3132000000"},
  });
}

// The version in production sends a summary as one message, which has no fields for paging.
TEST(SummaryEncoding, SummaryFromTheVersionInProductionIsDecodedAsASinglePage) {
  const char* const words =
      "000000001a000000 0000000001000200 0400000000000000 050000001a000000 0400000003000200 "
      "6e31000000000000 0100000000000000 0200000000000000 0300000000000000 0500000047000000 "
      "3100000017000000 0400000005000300 0100000000000000 000000000000f03f 0000000000000040 "
      "0000000000000c40 0000000000001240 090000003a000000 090000001a000000 0900000012000000 "
      "686f73742d310000 6738000000000000 6100000000000000 0400000001000100 0600000000000000 "
      "0100000032000000 72756e2d31000000";
  const auto message = decode_peer(from_words(words));
  ASSERT_TRUE(message);
  const auto& decoded = std::get<Summary>(message->payload);
  EXPECT_EQ(decoded.page, 0u);
  EXPECT_FALSE(decoded.more);
  auto expected = summary();
  expected.page = 0;
  expected.more = false;
  EXPECT_EQ(encode(decoded), encode(expected));
}

// Messages of the version in production have no field for the health of a job.
TEST(ProgressReportEncoding, ReportFromTheVersionInProductionIsDecodedWithoutHealthFindings) {
  const char* const words =
      "0000000012000000 0000000001000200 0900000000000000 050000001a000000 0400000002000100 "
      "6e31000000000000 0100000000000000 0400000000000000 010000001f000000 0400000000000300 "
      "0900000032000000 0900000032000000 0900000017000000 72756e2d31000000 302d362c39000000 "
      "0400000001000100 0300000000000000 0100000032000000 31302d3132000000";
  const auto message = decode_peer(from_words(words));
  ASSERT_TRUE(message);
  const auto& decoded = std::get<ProgressReport>(message->payload);
  ASSERT_EQ(decoded.jobs.size(), 1u);
  EXPECT_EQ(decoded.jobs.front().health, JobHealth::kNone);
  EXPECT_EQ(encode(decoded), encode(progress_report(JobHealth::kNone)));
}

}  // namespace
}  // namespace beaconsill::protocol
