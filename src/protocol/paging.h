// Splits messages between controllers whose size grows with the number of machines and jobs into pages, each
// of which fits into one frame, and reassembles them.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "protocol/peer.h"

namespace beaconsill::protocol {

// The approximate maximum size of a page, in bytes. It is half of the 1 MiB that receivers of all versions
// accept in one frame, because the encoded size of an entry is only estimated.
constexpr std::size_t kPageBytes = std::size_t{512} * 1024;

// Splits a summary into pages, in order. Returns a single page if the summary fits into one. Receivers of
// versions without paging treat the last page as the whole summary, and so underestimate the capacity of the
// shard.
std::vector<Summary> split_into_pages(Summary summary, std::size_t page_bytes = kPageBytes);

// Splits a progress report into pages. Each page is a complete report about the jobs in it, so the pages need
// no reassembly.
std::vector<ProgressReport> split_into_pages(ProgressReport progress_report,
                                             std::size_t page_bytes = kPageBytes);

// Reassembles summaries from their pages. If a page of a summary is lost, the rest of that summary is
// dropped; shards send summaries periodically, so the next one replaces it. Not thread-safe.
class SummaryAssembler {
 public:
  // Adds a received page. Returns the whole summary if the page completes it, otherwise std::nullopt.
  std::optional<Summary> add(Summary page);

 private:
  enum class AppendResult { kAppended, kMissingPage };
  // Appends a page to the incomplete summary of its shard. Discards that summary if its previous page is
  // missing or the term has changed.
  AppendResult append(Summary page);

  std::map<ShardId, Summary> incomplete_;  // summaries of which the last page has not arrived
};

}  // namespace beaconsill::protocol
