// Identifiers, versions, times and amounts as small types of their own, so that one can't be taken for
// another. Includes the headers that define them.
#pragma once

#include "base/clock.h"          // IWYU pragma: export
#include "base/fencing_token.h"  // IWYU pragma: export
#include "base/ids.h"            // IWYU pragma: export
#include "base/job_kind.h"       // IWYU pragma: export
#include "base/resources.h"      // IWYU pragma: export
#include "base/stable_hash.h"    // IWYU pragma: export
#include "base/strong.h"         // IWYU pragma: export
