#include "fakes/worker.h"

#include <algorithm>

namespace beaconsill::fakes {

Worker::Worker(asio::io_context& io, std::string name, std::string zone,
               std::vector<Tcp::endpoint> controllers, std::vector<std::string> names)
    : io_(io),
      name_(std::move(name)),
      zone_(std::move(zone)),
      controllers_(std::move(controllers)),
      names_(std::move(names)),
      timer_(io) {
  server = std::make_shared<HttpServer>(
      io, any_port(), net::ServerLimits{}, [](const Request&) { return false; },
      [this](Request r, HttpServer::Reply reply) { reply(handle(r)); });
  server->start();
  heartbeat();
}

void Worker::stop() {
  stopped_ = true;
  timer_.cancel();
  server->stop();
  if (client_) client_->stop();
}

Json Worker::body() {
  Json list = Json::array();
  for (auto& t : tasks) {
    Json e{{"lamp", t.id}, {"launch", t.attempt}, {"bearing", t.state}};
    if (t.state == "ended") e["cause"] = t.cause;
    list.push_back(e);
  }
  return {{"beacon", name_},      {"address", text(server->local())},
          {"hull", "t4"},         {"harbour", zone_},
          {"driftwood", false},   {"watch", 1},
          {"tally", ++sequence_}, {"helm", token},
          {"lamps", list}};
}

Response Worker::handle(const Request& r) {
  if (r.path != "/do") return {404, "{}"};
  auto j = Json::parse(r.body);
  if (j["helm"].get<std::uint64_t>() < token || j["watch"] != 1) return {409, body().dump()};
  token = j["helm"].get<std::uint64_t>();
  for (auto& c : j["signals"]) {
    auto id = c["lamp"].get<std::string>();
    auto attempt = c["launch"].get<std::uint64_t>();
    auto it =
        std::find_if(tasks.begin(), tasks.end(), [&](auto& t) { return t.id == id && t.attempt == attempt; });
    if (c["signal"] == "run" && it == tasks.end()) {
      tasks.push_back({id, attempt});
      ++started;
    } else if (c["signal"] == "kill" && it != tasks.end() && it->state != "ended") {
      it->state = "ended";
      it->cause = "halted";
    } else if (c["signal"] == "clear" && it != tasks.end()) {
      tasks.erase(it);
    }
  }
  return {200, body().dump()};
}

void Worker::heartbeat() {
  if (stopped_) return;
  for (auto& t : tasks) {
    if (t.state == "running" && !services.contains(t.id.substr(0, t.id.find('/'))) && ++t.age > run_reports) {
      t.state = "ended";
      t.cause = "done";
    }
  }
  if (!client_) client_ = std::make_shared<net::HttpClient>(io_, controllers_[at_], 1);
  client_->request("POST", "/hello", body().dump(), std::chrono::seconds(1), [this](net::Result result) {
    if (stopped_) return;
    if (result && result->status == 200) {
      auto leader_token = Json::parse(result->body)["helm"].get<std::uint64_t>();
      if (leader_token >= token) ++answered;
      token = std::max(token, leader_token);
    } else {
      std::size_t next = (at_ + 1) % controllers_.size();
      if (result && result->status == 421) {
        auto j = Json::parse(result->body);
        for (std::size_t i = 0; i < names_.size(); ++i)
          if (j.value("keeper", "") == names_[i]) next = i;
      }
      at_ = next;
      auto old = std::move(client_);
      client_.reset();
      old->stop();
    }
    timer_.expires_after(std::chrono::milliseconds(50));
    timer_.async_wait([this](std::error_code ec) {
      if (!ec) heartbeat();
    });
  });
}

}  // namespace beaconsill::fakes
