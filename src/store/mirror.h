// Keeps a View of all keys of the service up to date, and answers "up to date as of now" on demand.
#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "store/client.h"
#include "store/view.h"

namespace beaconsill::store {

class Mirror : public std::enable_shared_from_this<Mirror> {
 public:
  // `on_change` is called after changes were applied, with what they touched.
  Mirror(asio::io_context& io, const Clock& clock, std::shared_ptr<StoreClient> client, Duration period,
         std::function<void(const View::Touched&)> on_change);
  void start();
  void stop();

  const View& view() const { return view_; }
  bool ready() const { return ready_; }
  Revision revision() const { return revision_; }
  // The view holds all changes that were made before this time.
  Instant word() const { return word_; }

  // Calls back once the view holds all that was written before this call; false: could not be read.
  // Calls while a read is under way share the next one.
  void sync(std::function<void(bool)> done);
  // Somebody wrote this revision: look soon unless it's known.
  void nudge(Revision r);
  // A change that this node itself made.
  void apply_own(const wire::Txn& t, Revision r);

 private:
  void load(const std::string& after);
  void read();
  void finish(bool ok);
  void settle();
  void schedule(Duration d);
  // Reads as soon as the last read is long enough ago.
  void read_soon();

  const Clock& clock_;
  std::shared_ptr<StoreClient> client_;
  Duration period_;
  std::function<void(const View::Touched&)> on_change_;
  View view_;
  asio::steady_timer timer_;
  Revision revision_;
  Revision nudged_;
  Instant word_{};
  std::vector<std::function<void(bool)>> waiting_, served_;
  Instant begun_{};  // the last read
  bool loaded_ = false;
  bool reading_ = false;
  bool ready_ = false;
  bool stopped_ = false;
};

}  // namespace beaconsill::store
