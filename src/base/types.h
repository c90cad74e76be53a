// Umbrella header of the basic value types: identifiers, versions, times and resources. They are distinct
// types, so that the compiler rejects using one in place of another.
#pragma once

#include "base/clock.h"          // IWYU pragma: export
#include "base/fencing_token.h"  // IWYU pragma: export
#include "base/ids.h"            // IWYU pragma: export
#include "base/job_kind.h"       // IWYU pragma: export
#include "base/resources.h"      // IWYU pragma: export
#include "base/stable_hash.h"    // IWYU pragma: export
#include "base/strong.h"         // IWYU pragma: export
