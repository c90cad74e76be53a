#include "protocol/paging.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace beaconsill::protocol {
namespace {

// Encoded sizes with Cap'n Proto, in bytes: the fixed fields of an entry with its pointers, and the padding
// of a text.
constexpr std::size_t kMachineBytes = 72;
constexpr std::size_t kJobCountBytes = 16;
constexpr std::size_t kJobProgressBytes = 40;
constexpr std::size_t kReleasedTasksBytes = 24;
constexpr std::size_t kTextPaddingBytes = 8;

std::size_t estimated_text_bytes(const std::string& text) {
  return text.size() + kTextPaddingBytes;
}

std::size_t estimated_bytes(const MachineCapacity& machine) {
  return kMachineBytes + estimated_text_bytes(machine.name.value()) +
         estimated_text_bytes(machine.type.value()) + estimated_text_bytes(machine.zone.value());
}

std::size_t estimated_bytes(const JobCount& count) {
  return kJobCountBytes + estimated_text_bytes(count.job.value());
}

std::size_t estimated_bytes(const JobProgress& progress) {
  auto bytes = kJobProgressBytes + estimated_text_bytes(progress.job.value()) +
               estimated_text_bytes(progress.done.str());
  for (const auto& released : progress.released)
    bytes += kReleasedTasksBytes + estimated_text_bytes(released.tasks.str());
  return bytes;
}

// Distributes the entries of a message over pages. Each page starts as a copy of `empty_page`, which has the
// fields of the message but no entries.
template <class Message>
class PageBuilder {
 public:
  PageBuilder(Message empty_page, std::size_t max_page_bytes)
      : empty_page_(std::move(empty_page)), max_page_bytes_(max_page_bytes), pages_{empty_page_} {}

  // Returns the page to which an entry of this size must be added. Each page can contain at least one entry,
  // even if the entry is larger than the page size.
  Message& page_for(std::size_t entry_bytes) {
    if (last_page_bytes_ > 0 && last_page_bytes_ + entry_bytes > max_page_bytes_) {
      pages_.push_back(empty_page_);
      last_page_bytes_ = 0;
    }
    last_page_bytes_ += entry_bytes;
    return pages_.back();
  }
  std::vector<Message> take_pages() { return std::move(pages_); }

 private:
  Message empty_page_;
  std::size_t max_page_bytes_;
  std::vector<Message> pages_;
  std::size_t last_page_bytes_ = 0;
};

}  // namespace

std::vector<Summary> split_into_pages(Summary summary, std::size_t page_bytes) {
  auto machines = std::exchange(summary.machines, {});
  auto running = std::exchange(summary.running, {});
  const bool more_follow = summary.more;
  PageBuilder<Summary> builder(std::move(summary), page_bytes);
  for (auto& machine : machines)
    builder.page_for(estimated_bytes(machine)).machines.push_back(std::move(machine));
  for (auto& count : running) builder.page_for(estimated_bytes(count)).running.push_back(std::move(count));
  auto pages = builder.take_pages();
  for (std::size_t i = 0; i < pages.size(); ++i) {
    if (i > 0) pages[i].page = static_cast<std::uint32_t>(i);
    pages[i].more = i + 1 < pages.size() || more_follow;
  }
  return pages;
}

std::vector<ProgressReport> split_into_pages(ProgressReport progress_report, std::size_t page_bytes) {
  auto jobs = std::exchange(progress_report.jobs, {});
  PageBuilder<ProgressReport> builder(std::move(progress_report), page_bytes);
  for (auto& job : jobs) builder.page_for(estimated_bytes(job)).jobs.push_back(std::move(job));
  return builder.take_pages();
}

SummaryAssembler::AppendResult SummaryAssembler::append(Summary page) {
  auto it = incomplete_.find(page.shard);
  if (it == incomplete_.end()) return AppendResult::kMissingPage;
  auto& summary = it->second;
  if (summary.term != page.term || summary.page + 1 != page.page) {
    incomplete_.erase(it);
    return AppendResult::kMissingPage;
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
  } else if (append(std::move(page)) == AppendResult::kMissingPage) {
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
