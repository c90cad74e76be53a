// The open connections of the HTTP server, and which of them is closed to make room for a new one.
//
// Users and workers each have a share of the connections. Either group may use connections that the other one
// leaves free, and loses them when the other one needs them.
#pragma once

#include <array>
#include <cstddef>
#include <list>
#include <memory>
#include <utility>

namespace beaconsill::net {

// Who sends requests over a connection.
enum class ConnectionGroup {
  kUsers,  // users, and everyone who has not sent a request yet
  kOthers  // workers and health checks
};

// Connection must have two methods: `bool idle() const`, whether it has no request in progress, and
// `bool receiving() const`, whether it has received a part of a request.
template <class Connection>
class ConnectionTable {
 public:
  using Connections = std::list<std::shared_ptr<Connection>>;
  using Position = typename Connections::iterator;

  // `max_connections`: the limit for both groups together. `user_share`: the part of it that others can't
  // take from users; the rest is the part that users can't take from others.
  ConnectionTable(std::size_t max_connections, std::size_t user_share)
      : max_connections_(max_connections), user_share_(user_share) {}

  std::size_t size() const { return users().size() + others().size(); }
  bool empty() const { return size() == 0; }
  bool full() const { return size() >= max_connections_; }
  const Connections& users() const { return connections(ConnectionGroup::kUsers); }
  const Connections& others() const { return connections(ConnectionGroup::kOthers); }
  const std::shared_ptr<Connection>& front() const { return (users().empty() ? others() : users()).front(); }

  // Adds a connection to the users, because its group is not known yet.
  Position add(std::shared_ptr<Connection> connection) {
    auto& list = connections(ConnectionGroup::kUsers);
    return list.insert(list.end(), std::move(connection));
  }
  // Moves the connection, which is in the group `from`, to the end of the group `into`. The connections of a
  // group are so in the order of their last response, least recent first.
  void move_to_end(Position position, ConnectionGroup from, ConnectionGroup into) {
    auto& target = connections(into);
    target.splice(target.end(), connections(from), position);
  }
  void remove(Position position, ConnectionGroup group) { connections(group).erase(position); }

  // Returns the connection to close for a new one, or nullptr if all have requests in progress: the one that
  // has been idle for longest in the group that exceeds its share. If none is idle there, one that has not
  // received its request completely, so that clients which send slowly can't occupy the group's share.
  std::shared_ptr<Connection> find_evictable() const {
    // A new connection counts as a user's.
    const bool users_exceed_share = users().size() >= user_share_;
    const auto& exceeding = users_exceed_share ? users() : others();
    const auto& within_share = users_exceed_share ? others() : users();
    if (auto found = find_first(exceeding, &Connection::idle)) return found;
    if (auto found = find_first(exceeding, &Connection::receiving)) return found;
    return find_first(within_share, &Connection::idle);
  }

 private:
  Connections& connections(ConnectionGroup group) { return groups_[static_cast<std::size_t>(group)]; }
  const Connections& connections(ConnectionGroup group) const {
    return groups_[static_cast<std::size_t>(group)];
  }
  static std::shared_ptr<Connection> find_first(const Connections& list,
                                                bool (Connection::*matches)() const) {
    for (const auto& connection : list)
      if (((*connection).*matches)()) return connection;
    return nullptr;
  }

  std::size_t max_connections_;
  std::size_t user_share_;
  std::array<Connections, 2> groups_;
};

}  // namespace beaconsill::net
