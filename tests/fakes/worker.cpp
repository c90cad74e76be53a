#include "fakes/worker.h"

#include <algorithm>

namespace beaconsill::fakes {

Worker::Worker(asio::io_context& io, std::string name, std::string zone,
               std::vector<Tcp::endpoint> controllers, std::vector<std::string> controller_names)
    : io_(io),
      name_(std::move(name)),
      zone_(std::move(zone)),
      controllers_(std::move(controllers)),
      controller_names_(std::move(controller_names)),
      timer_(io) {
  server = std::make_shared<HttpServer>(
      io, any_port(), net::ServerLimits{}, [](const Request&) { return false; },
      [this](Request request, HttpServer::Reply reply) { reply(handle(request)); });
  server->start();
  send_heartbeat();
}

void Worker::stop() {
  stopped_ = true;
  timer_.cancel();
  server->stop();
  if (client_) client_->stop();
}

Json Worker::heartbeat_body() {
  Json task_list = Json::array();
  for (auto& t : tasks) {
    Json entry{{"lamp", t.id}, {"launch", t.attempt}, {"bearing", t.state}};
    if (t.state == "ended") entry["cause"] = t.cause;
    task_list.push_back(entry);
  }
  return {{"beacon", name_},      {"address", to_string(server->local())},
          {"hull", "t4"},         {"harbour", zone_},
          {"driftwood", false},   {"watch", 1},
          {"tally", ++sequence_}, {"helm", token},
          {"lamps", task_list}};
}

Response Worker::handle(const Request& request) {
  if (request.path != "/do") return {404, "{}"};
  auto commands = Json::parse(request.body);
  if (commands["helm"].get<std::uint64_t>() < token || commands["watch"] != 1)
    return {409, heartbeat_body().dump()};
  token = commands["helm"].get<std::uint64_t>();
  executed_commands.push_back(request.body);
  for (auto& command : commands["signals"]) {
    auto id = command["lamp"].get<std::string>();
    auto attempt = command["launch"].get<std::uint64_t>();
    auto it =
        std::find_if(tasks.begin(), tasks.end(), [&](auto& t) { return t.id == id && t.attempt == attempt; });
    if (command["signal"] == "run" && it == tasks.end()) {
      tasks.push_back({id, attempt});
      ++started;
    } else if (command["signal"] == "kill" && it != tasks.end() && it->state != "ended") {
      it->state = "ended";
      it->cause = "halted";
    } else if (command["signal"] == "clear" && it != tasks.end()) {
      tasks.erase(it);
    }
  }
  return {200, heartbeat_body().dump()};
}

void Worker::send_heartbeat() {
  if (stopped_) return;
  for (auto& t : tasks) {
    if (t.state == "running" && !services.contains(t.id.substr(0, t.id.find('/'))) &&
        ++t.age > heartbeats_until_done) {
      t.state = "ended";
      t.cause = "done";
    }
  }
  if (!client_) client_ = std::make_shared<net::HttpClient>(io_, controllers_[current_controller_], 1);
  client_->request("POST", "/hello", heartbeat_body().dump(), std::chrono::seconds(1),
                   [this](net::Result result) {
                     if (stopped_) return;
                     if (result && result->status == 200) {
                       auto leader_token = Json::parse(result->body)["helm"].get<std::uint64_t>();
                       if (leader_token >= token) ++answered;
                       token = std::max(token, leader_token);
                     } else {
                       std::size_t next = (current_controller_ + 1) % controllers_.size();
                       if (result && result->status == 421) {
                         auto redirect = Json::parse(result->body);
                         for (std::size_t i = 0; i < controller_names_.size(); ++i)
                           if (redirect.value("keeper", "") == controller_names_[i]) next = i;
                       }
                       current_controller_ = next;
                       auto old = std::move(client_);
                       client_.reset();
                       old->stop();
                     }
                     timer_.expires_after(std::chrono::milliseconds(50));
                     timer_.async_wait([this](std::error_code ec) {
                       if (!ec) send_heartbeat();
                     });
                   });
}

}  // namespace beaconsill::fakes
