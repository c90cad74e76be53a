// Case "connections": more users keep a connection open than the controllers that are up allow.
#include <algorithm>
#include <iostream>

#include "cases.h"

namespace standin {
namespace {

// The users' load balancer, as the protocol page describes it.
class LoadBalancer {
 public:
  explicit LoadBalancer(World& world) : world_(world), nodes_(world.count()) { probe(); }
  struct Node {
    bool healthy = false, ever = false;
    int in_a_row = 0, failures_in_a_row = 0;
    std::vector<bool> last;
    double healthy_since = -100, removed_at = -100;
    int open = 0;
  };
  // The node of a new connection; count() if there is none.
  std::size_t choose(const std::vector<std::size_t>& except) const {
    std::size_t best = nodes_.size();
    double least = 1e9;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const auto& node = nodes_[i];
      if (!node.healthy || std::find(except.begin(), except.end(), i) != except.end()) continue;
      const double share = std::clamp((world_.now() - node.healthy_since) / 10, 0.1, 1.0);
      if ((node.open + 1) / share < least) {
        least = (node.open + 1) / share;
        best = i;
      }
    }
    return best;
  }
  std::vector<Node>& nodes() { return nodes_; }

 private:
  void probe() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      auto client = std::make_shared<HttpClient>(world_.io, world_.controllers->user_ports[i], 1);
      client->request("GET", "/up", "", std::chrono::seconds(1), [this, i, client](Result result) {
        note(i, result && result->status == 200);
        world_.at(0, [client] { client->stop(); });
      });
    }
    world_.at(1, [this] { probe(); });
  }
  void note(std::size_t i, bool good) {
    auto& node = nodes_[i];
    node.in_a_row = good ? node.in_a_row + 1 : 0;
    node.failures_in_a_row = good ? 0 : node.failures_in_a_row + 1;
    node.last.push_back(good);
    if (node.last.size() > 6) node.last.erase(node.last.begin());
    const auto failures = std::count(node.last.begin(), node.last.end(), false);
    if (node.healthy && (node.failures_in_a_row >= 2 || failures >= 3)) {
      node.healthy = false;
      node.removed_at = world_.now();
      world_.log("load balancer: " + world_.controllers->names[i] + " is unhealthy");
    } else if (!node.healthy && (node.in_a_row >= 2 || (good && !node.ever)) && world_.now() - node.removed_at >= 3) {
      node.healthy = true;
      node.healthy_since = node.ever ? world_.now() : -100;
      node.ever = true;
      node.last.clear();
      world_.log("load balancer: " + world_.controllers->names[i] + " is healthy");
    }
  }
  World& world_;
  std::vector<Node> nodes_;
};

// A user with one job, and one connection that stays open as long as neither side closes it.
class User : public std::enable_shared_from_this<User> {
 public:
  User(World& world, LoadBalancer& balancer, std::string id) : world_(world), balancer_(balancer), id_(std::move(id)) {}
  double last_answer = 0, longest_silence = 0;
  int polls = 0, answered = 0, refused = 0;
  bool accepted() const { return accepted_; }
  const std::string& id() const { return id_; }

  // Submits over a connection of its own, which the user closes again.
  void submit() {
    const auto node = static_cast<std::size_t>(world_.random() % world_.count());
    world_.users.call(node, "POST", "/v1/jobs", world_.users.jobs.at(id_).spec.dump(), 5,
                      [self = shared_from_this()](const Result& result) {
                        if (result && (result->status == 201 || result->status == 200)) {
                          self->accepted_ = true;
                          self->last_answer = self->world_.now();
                          return;
                        }
                        self->world_.at(1, [self] { self->submit(); });
                      });
  }
  void begin_polls() {
    world_.at(world_.uniform(0, 1), [self = shared_from_this()] { self->poll(); });
  }
  // The connections of a node that has ended are gone.
  void on_node_ended(std::size_t node) {
    if (client_ && node_ == node) drop();
  }

 private:
  void later() {
    world_.at(world_.uniform(4.5, 5.5), [self = shared_from_this()] { self->poll(); });
  }
  void poll() {
    ++polls;
    send("GET", "/v1/jobs/" + id_, "", 2, [self = shared_from_this()](const Result& result) {
      const double now = self->world_.now();
      if (result && (result->status == 200 || result->status == 404)) {
        self->last_answer = now;
        ++self->answered;
        if (result->status == 404) self->world_.ledger.violation("forgotten", self->id_ + " is answered 404");
      } else {
        self->refused += result.has_value();
        self->longest_silence = std::max(self->longest_silence, now - self->last_answer);
      }
      self->later();
    });
  }
  void drop() {
    if (!client_) return;
    --balancer_.nodes()[node_].open;
    auto client = std::move(client_);
    client_.reset();
    world_.at(0, [client] { client->stop(); });
  }
  void send(const std::string& method, const std::string& path, const std::string& body, double timeout_s,
            std::function<void(const Result&)> done, std::vector<std::size_t> tried = {}) {
    const bool is_new = !client_;
    if (is_new) {
      node_ = balancer_.choose(tried);
      if (node_ >= world_.count()) return done(tl::unexpected(beaconsill::net::RequestError::kNotSent));
      client_ = std::make_shared<HttpClient>(world_.io, world_.controllers->user_ports[node_], 1);
      ++balancer_.nodes()[node_].open;
    }
    client_->request(method, path, body, from_seconds(timeout_s),
                     [self = shared_from_this(), method, path, body, timeout_s, done, tried, is_new](Result result) mutable {
                       const auto node = self->node_;
                       self->world_.log("user of " + self->id_ + " -> " + self->world_.controllers->names[node] + " " +
                                        method + ": " + (result ? std::to_string(result->status) + " " + result->body
                                                                : "no answer"));
                       // A connection without a good answer is given up; the next one goes by the load balancer.
                       if (!result || (result->status != 200 && result->status != 201 && result->status != 404)) self->drop();
                       if (!result && is_new && result.error() == beaconsill::net::RequestError::kNotSent && tried.size() < 2) {
                         tried.push_back(node);
                         return self->send(method, path, body, timeout_s, done, tried);
                       }
                       done(result);
                     });
  }
  World& world_;
  LoadBalancer& balancer_;
  std::string id_;
  std::shared_ptr<HttpClient> client_;
  std::size_t node_ = 0;
  bool accepted_ = false;
};

int connections(const CaseArguments& arguments) {
  const int count = 375;
  const double silent_s = 90;
  Deployment d;  // Retemonti, with the operators' account (`kit/more`)
  d.teams = {{"squadra-rete", 0, 0}, {"gruppo-ateneo", 0, 0}};
  World world(d, arguments.run, arguments.record);
  for (int i = 0; i < 2; ++i) world.add_machine("nodo-medio", d.zones[i % 2]);
  world.start();
  if (!world.wait_until_ready()) return 2;
  LoadBalancer balancer(world);
  std::vector<std::shared_ptr<User>> users;
  for (int i = 0; i < count; ++i) {
    char id[32];
    std::snprintf(id, sizeof id, "run-%06d", 1000 + i);
    auto spec = world.users.make(id, "batch", 1, 0.25, 150);
    spec["berth"] = "sonde-singole";
    spec["crew"] = "gruppo-ateneo";
    spec["precedence"] = "best_effort";
    spec["memoryGb"] = 0.9;
    spec["driftwood"] = true;
    world.users.add(spec, 150);
    users.push_back(std::make_shared<User>(world, balancer, id));
    world.at(0.04 * i, [user = users.back()] { user->submit(); });
  }
  auto all_accepted = [&] {
    return std::all_of(users.begin(), users.end(), [](const auto& user) { return user->accepted(); });
  };
  if (!world.run_until(all_accepted, 24)) return 2;
  world.log("all " + std::to_string(count) + " jobs are accepted");
  for (auto& user : users) user->begin_polls();
  auto all_answered = [&] {
    return std::all_of(users.begin(), users.end(), [](const auto& user) { return user->answered > 0; });
  };
  if (!world.run_until(all_answered, 3)) return 2;
  const double begin = world.now();
  if (arguments.trouble) {
    world.controllers->kill(1);
    for (auto& user : users) user->on_node_ended(1);
    world.at(silent_s, [&world] { world.controllers->start(1); });
  }
  world.run_for(std::min(silent_s + 1, 118 - begin));
  const double end = world.now();
  int forgotten = 0, answered = 0;
  for (auto& user : users) {
    const double silence = std::max(user->longest_silence, end - user->last_answer);
    world.log("user of " + user->id() + ": " + std::to_string(user->answered) + " of " + std::to_string(user->polls) +
              " polls answered, " + std::to_string(user->refused) + " refused, longest time without an answer " +
              std::to_string(silence) + " s");
    if (silence >= 90) {
      ++forgotten;
      world.ledger.violation("forgotten", user->id() + ": all polls failed for " + std::to_string(silence) + " s");
    } else if (silence < 15) {
      ++answered;
    }
  }
  std::cout << "users " << count << ", answered all the time " << answered << ", not answered for 90 s " << forgotten
            << ", length " << end - begin << std::endl;
  if (forgotten > 0 && answered > count / 2) return 1;
  return forgotten == 0 ? 0 : 2;
}

Register registered("connections", connections);

}  // namespace
}  // namespace standin
