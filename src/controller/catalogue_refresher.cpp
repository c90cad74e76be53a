#include "controller/catalogue_refresher.h"

#include <utility>

namespace beaconsill::controller {
namespace {
constexpr Duration kCheckPeriod = std::chrono::seconds(1);
constexpr Duration kMaxAge = std::chrono::seconds(60);
}  // namespace

CatalogueRefresher::CatalogueRefresher(ControllerContext& ctx, std::function<void()> on_catalogue)
    : ctx_(ctx), on_catalogue_(std::move(on_catalogue)), timer_(ctx.io_context, [this] { run(); }) {}

void CatalogueRefresher::start() {
  timer_.start(kCheckPeriod);
}

void CatalogueRefresher::stop() {
  stopped_ = true;
  timer_.stop();
}

void CatalogueRefresher::run() {
  if (fetch_pending_ || (ctx_.catalogue && ctx_.now() - fetched_at_ < kMaxAge)) return;
  fetch_pending_ = true;
  ctx_.cloud->fetch_catalogue(
      [this](cloud::CloudClient::CatalogueResult catalogue) { on_fetched(std::move(catalogue)); });
}

void CatalogueRefresher::on_fetched(cloud::CloudClient::CatalogueResult catalogue) {
  fetch_pending_ = false;
  if (!catalogue || stopped_) return;
  fetched_at_ = ctx_.now();
  ctx_.catalogue = std::make_shared<const protocol::Catalogue>(std::move(*catalogue));
  on_catalogue_();
}

}  // namespace beaconsill::controller
