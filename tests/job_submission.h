// Builds the JSON of a job submission for tests.
#pragma once

#include <string>

#include "protocol/json.h"

namespace beaconsill {

// Returns a job submission as users send it. `kind` is "batch" or "daemon".
inline std::string job_json(const std::string& id, const char* kind, int tasks, const char* priority) {
  return protocol::Json{{"ref", id},
                        {"berth", "c"},
                        {"crew", "blue"},
                        {"shape", kind},
                        {"precedence", priority},
                        {"lamps", tasks},
                        {"vcpus", 1.0},
                        {"cards", 0.0},
                        {"memoryGb", 1.0},
                        {"cargo", "img"},
                        {"sizeGb", 0.5},
                        {"together", false},
                        {"scatter", false},
                        {"driftwood", false},
                        {"reckonS", 1.0},
                        {"markS", 0.0},
                        {"stowS", 0.0}}
      .dump();
}

}  // namespace beaconsill
