// Messages between controllers that grow with the number of machines and jobs, in pages that each fit into a
// frame however many there are.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "protocol/peer.h"

namespace beaconsill::protocol {

// Bytes of a page, about: half of what receivers of all versions accept in one frame (1 MiB), since the size
// of an entry is reckoned, not measured.
constexpr std::size_t kPageBytes = std::size_t{512} * 1024;

// The summary in pages, in order; a single one if all fits. Earlier versions take the last page for the
// whole: they think that the shard has less capacity than it has.
std::vector<Summary> paged(Summary summary, std::size_t page_bytes = kPageBytes);

// The same for progress reports; each page stands for itself.
std::vector<ProgressReport> paged(ProgressReport progress_report, std::size_t page_bytes = kPageBytes);

// Puts the pages of summaries together. A summary of which a page is lost is dropped: the next one follows.
// Not thread-safe.
class SummaryAssembler {
 public:
  // The whole summary if this is its last page.
  std::optional<Summary> add(Summary page);

 private:
  enum class AppendResult { kAppended, kPageLost };
  // Appends a page to the summary that it belongs to, unless the page before it was lost.
  AppendResult append(Summary page);

  std::map<ShardId, Summary> incomplete_;
};

}  // namespace beaconsill::protocol
