#include "protocol/paging.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace beaconsill::protocol {
namespace {

// Bytes of the fixed fields of an entry with its pointers, and of a text with its padding (Cap'n Proto).
constexpr std::size_t kMachineBytes = 72;
constexpr std::size_t kJobCountBytes = 16;
constexpr std::size_t kJobProgressBytes = 40;
constexpr std::size_t kReleasedTasksBytes = 24;
constexpr std::size_t kTextPaddingBytes = 8;

std::size_t text_bytes(const std::string& text) {
  return text.size() + kTextPaddingBytes;
}

std::size_t bytes_of(const MachineCapacity& machine) {
  return kMachineBytes + text_bytes(machine.name.value()) + text_bytes(machine.type.value()) +
         text_bytes(machine.zone.value());
}

std::size_t bytes_of(const JobCount& count) {
  return kJobCountBytes + text_bytes(count.job.value());
}

std::size_t bytes_of(const JobProgress& progress) {
  auto bytes = kJobProgressBytes + text_bytes(progress.job.value()) + text_bytes(progress.done.str());
  for (const auto& released : progress.released)
    bytes += kReleasedTasksBytes + text_bytes(released.tasks.str());
  return bytes;
}

// Spreads the entries of a message over pages, each a copy of `blank` with some of the entries.
template <class Message>
class Pager {
 public:
  Pager(Message blank, std::size_t page_bytes)
      : blank_(std::move(blank)), page_bytes_(page_bytes), pages_{blank_} {}

  // The page that takes an entry of this size. A page takes one entry at least.
  Message& page_for(std::size_t entry_bytes) {
    if (bytes_ > 0 && bytes_ + entry_bytes > page_bytes_) {
      pages_.push_back(blank_);
      bytes_ = 0;
    }
    bytes_ += entry_bytes;
    return pages_.back();
  }
  std::vector<Message> take() { return std::move(pages_); }

 private:
  Message blank_;
  std::size_t page_bytes_;
  std::vector<Message> pages_;
  std::size_t bytes_ = 0;  // of the last page
};

}  // namespace

std::vector<Summary> paged(Summary summary, std::size_t page_bytes) {
  auto machines = std::exchange(summary.machines, {});
  auto running = std::exchange(summary.running, {});
  const bool more_follow = summary.more;
  Pager<Summary> pager(std::move(summary), page_bytes);
  for (auto& machine : machines) pager.page_for(bytes_of(machine)).machines.push_back(std::move(machine));
  for (auto& count : running) pager.page_for(bytes_of(count)).running.push_back(std::move(count));
  auto pages = pager.take();
  for (std::size_t i = 0; i < pages.size(); ++i) {
    if (i > 0) pages[i].page = static_cast<std::uint32_t>(i);
    pages[i].more = i + 1 < pages.size() || more_follow;
  }
  return pages;
}

std::vector<ProgressReport> paged(ProgressReport progress_report, std::size_t page_bytes) {
  auto jobs = std::exchange(progress_report.jobs, {});
  Pager<ProgressReport> pager(std::move(progress_report), page_bytes);
  for (auto& job : jobs) pager.page_for(bytes_of(job)).jobs.push_back(std::move(job));
  return pager.take();
}

SummaryAssembler::AppendResult SummaryAssembler::append(Summary page) {
  auto it = incomplete_.find(page.shard);
  if (it == incomplete_.end()) return AppendResult::kPageLost;
  auto& summary = it->second;
  if (summary.term != page.term || summary.page + 1 != page.page) {
    incomplete_.erase(it);
    return AppendResult::kPageLost;
  }
  std::move(page.machines.begin(), page.machines.end(), std::back_inserter(summary.machines));
  std::move(page.running.begin(), page.running.end(), std::back_inserter(summary.running));
  summary.page = page.page;
  summary.more = page.more;
  return AppendResult::kAppended;
}

std::optional<Summary> SummaryAssembler::add(Summary page) {
  const auto shard = page.shard;
  if (page.page == 0) {
    incomplete_.insert_or_assign(shard, std::move(page));
  } else if (append(std::move(page)) == AppendResult::kPageLost) {
    return std::nullopt;
  }
  auto it = incomplete_.find(shard);
  if (it->second.more) return std::nullopt;
  auto summary = std::move(it->second);
  incomplete_.erase(it);
  summary.page = 0;
  return summary;
}

}  // namespace beaconsill::protocol
