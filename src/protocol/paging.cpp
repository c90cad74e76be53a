#include "protocol/paging.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace beaconsill::protocol {
namespace {

// Bytes of the fixed fields of an entry with its pointers, and of a text with its padding (Cap'n Proto).
constexpr std::size_t kMachineBytes = 72;
constexpr std::size_t kJobCountBytes = 16;
constexpr std::size_t kOutcomeBytes = 40;
constexpr std::size_t kReleasedTasksBytes = 24;

std::size_t text_bytes(const std::string& text) {
  return text.size() + 8;
}

std::size_t bytes_of(const MachineCapacity& m) {
  return kMachineBytes + text_bytes(m.name.value()) + text_bytes(m.type.value()) + text_bytes(m.zone.value());
}

std::size_t bytes_of(const JobCount& c) {
  return kJobCountBytes + text_bytes(c.job.value());
}

std::size_t bytes_of(const JobProgress& o) {
  auto bytes = kOutcomeBytes + text_bytes(o.job.value()) + text_bytes(o.done.str());
  for (const auto& r : o.released) bytes += kReleasedTasksBytes + text_bytes(r.tasks.str());
  return bytes;
}

}  // namespace

std::vector<Summary> paged(Summary summary, std::size_t page_bytes) {
  auto machines = std::exchange(summary.machines, {});
  auto running = std::exchange(summary.running, {});
  std::vector<Summary> pages{summary};
  std::size_t bytes = 0;
  auto room_for = [&](std::size_t more) -> Summary& {
    if (bytes > 0 && bytes + more > page_bytes) {
      pages.back().more = true;
      pages.push_back(summary);
      pages.back().page = static_cast<std::uint32_t>(pages.size() - 1);
      bytes = 0;
    }
    bytes += more;
    return pages.back();
  };
  for (auto& m : machines) room_for(bytes_of(m)).machines.push_back(std::move(m));
  for (auto& c : running) room_for(bytes_of(c)).running.push_back(std::move(c));
  return pages;
}

std::vector<ProgressReport> paged(ProgressReport progress_report, std::size_t page_bytes) {
  auto jobs = std::exchange(progress_report.jobs, {});
  std::vector<ProgressReport> pages{progress_report};
  std::size_t bytes = 0;
  for (auto& job : jobs) {
    auto more = bytes_of(job);
    if (bytes > 0 && bytes + more > page_bytes) {
      pages.push_back(progress_report);
      bytes = 0;
    }
    bytes += more;
    pages.back().jobs.push_back(std::move(job));
  }
  return pages;
}

std::optional<Summary> SummaryAssembler::add(Summary page) {
  auto begun = begun_.find(page.shard);
  if (page.page > 0) {
    // A page that doesn't follow the last one: the one before it was lost.
    bool follows =
        begun != begun_.end() && begun->second.term == page.term && begun->second.page + 1 == page.page;
    if (!follows) {
      if (begun != begun_.end()) begun_.erase(begun);
      return std::nullopt;
    }
    auto& whole = begun->second;
    std::move(page.machines.begin(), page.machines.end(), std::back_inserter(whole.machines));
    std::move(page.running.begin(), page.running.end(), std::back_inserter(whole.running));
    whole.page = page.page;
    whole.more = page.more;
  } else {
    auto shard = page.shard;
    begun = begun_.insert_or_assign(shard, std::move(page)).first;
  }
  if (begun->second.more) return std::nullopt;
  auto whole = std::move(begun->second);
  begun_.erase(begun);
  whole.page = 0;
  return whole;
}

}  // namespace beaconsill::protocol
