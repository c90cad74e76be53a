// Tests of how the cloud client turns responses of the cloud, or missing ones, into results, over loopback.
#include <gtest/gtest.h>

#include <functional>
#include <optional>

#include "base/log.h"
#include "cloud/client.h"
#include "fakes/loopback.h"

namespace beaconsill::cloud {
namespace {

// A client and a server that sends the same response to every request, or no response at all if `response` is
// empty.
struct CloudClientFixture {
  explicit CloudClientFixture(std::optional<net::Response> fixed_response)
      : response(std::move(fixed_response)) {
    spdlog::set_level(spdlog::level::off);
    server = std::make_shared<net::HttpServer>(
        io, fakes::any_port(), net::ServerLimits{}, [](const net::Request&) { return false; },
        [this](const net::Request&, net::HttpServer::Reply reply) {
          if (response) return reply(*response);
          pending_replies.push_back(std::move(reply));
        });
    server->start();
    client = std::make_shared<CloudClient>(io, clock, server->local(), 100);
  }
  ~CloudClientFixture() {
    client->stop();
    server->stop();
    io.poll();
  }
  void run_until(const std::function<bool()>& done) {
    ASSERT_TRUE(fakes::run_until(io, done, std::chrono::seconds(10)));
  }

  asio::io_context io;
  SystemClock clock;
  std::optional<net::Response> response;
  std::vector<net::HttpServer::Reply> pending_replies;
  std::shared_ptr<net::HttpServer> server;
  std::shared_ptr<CloudClient> client;
};

TEST(CloudClient, RentingReturnsTheMachinesOrAnError) {
  const std::vector<MachineName> machines{MachineName("m1"), MachineName("m2")};
  struct Case {
    const char* description;
    net::Response response;
    CloudClient::RentResult result;
  };
  const Case cases[] = {
      {"machines", {200, R"({"beacons":["m1","m2"]})"}, machines},
      {"no machines", {200, R"({"beacons":[]})"}, std::vector<MachineName>{}},
      {"response without a list of machines", {200, "{}"}, tl::unexpected(CloudError::kOutcomeUnknown)},
      {"response that is not JSON", {200, "machines"}, tl::unexpected(CloudError::kOutcomeUnknown)},
      {"invalid request", {400, "{}"}, tl::unexpected(CloudError::kRejected)},
      {"not found", {404, "{}"}, tl::unexpected(CloudError::kOutcomeUnknown)},
      {"too many requests", {429, "{}"}, tl::unexpected(CloudError::kOutcomeUnknown)},
      {"internal server error",
       {500, R"({"error":"no capacity"})"},
       tl::unexpected(CloudError::kOutcomeUnknown)},
      {"no capacity", {503, R"({"error":"no capacity"})"}, tl::unexpected(CloudError::kNoCapacity)},
      {"outage", {503, R"({"error":"unavailable"})"}, tl::unexpected(CloudError::kOutcomeUnknown)},
      {"outage without JSON", {503, "unavailable"}, tl::unexpected(CloudError::kOutcomeUnknown)},
  };
  for (const auto& test_case : cases) {
    CloudClientFixture fixture(test_case.response);
    std::optional<CloudClient::RentResult> result;
    fixture.client->rent_machines({"r1", MachineType("t"), Zone("z"), false, 2},
                                  [&](CloudClient::RentResult received) { result = std::move(received); });
    fixture.run_until([&] { return result.has_value(); });
    EXPECT_TRUE(*result == test_case.result) << test_case.description;
  }
}

TEST(CloudClient, DeletionSucceedsOnlyIfTheStatusIsOk) {
  struct Case {
    int status;
    std::optional<CloudError> error;
  };
  const Case cases[] = {{200, std::nullopt},
                        {400, CloudError::kRejected},
                        {404, CloudError::kOutcomeUnknown},
                        {429, CloudError::kOutcomeUnknown},
                        {503, CloudError::kOutcomeUnknown}};
  for (const auto& test_case : cases) {
    SCOPED_TRACE(test_case.status);
    CloudClientFixture fixture(net::Response{test_case.status, "{}"});
    std::optional<CloudClient::DeleteResult> result;
    fixture.client->delete_machines({MachineName("m1")},
                                    [&](CloudClient::DeleteResult received) { result = received; });
    fixture.run_until([&] { return result.has_value(); });
    const auto error = *result ? std::nullopt : std::optional(result->error());
    EXPECT_EQ(error, test_case.error);
  }
}

TEST(CloudClient, StopCallsBackEveryRequestWithAnError) {
  CloudClientFixture fixture(std::nullopt);
  std::vector<std::optional<CloudError>> errors;
  auto record = [&](const auto& result) {
    errors.push_back(result ? std::nullopt : std::optional(result.error()));
  };
  fixture.client->fetch_catalogue(record);
  fixture.client->list_machines(record);
  fixture.run_until([&] { return fixture.pending_replies.size() == 2; });
  fixture.client->delete_machines({MachineName("m1")}, record);
  fixture.client->stop();
  fixture.client->rent_machines({}, record);  // a request after stop()
  EXPECT_EQ(errors, std::vector(4, std::optional(CloudError::kOutcomeUnknown)));
}

}  // namespace
}  // namespace beaconsill::cloud
