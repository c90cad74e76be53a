#!/usr/bin/env bash
# usage: check_log_events_test.sh CHECK_LOG_EVENTS_SCRIPT
# What .ci/check-log-events says of small trees of sources and their description.
set -euo pipefail
script=$1
# shellcheck source=tests/script_test_lib.sh
source "$(dirname "$0")/script_test_lib.sh"

# Each event and each key is both described and in use.
fresh_tree() {
  remove_tree
  mkdir -p "$directory"/.ci "$directory"/docs "$directory"/src/shard
  cat >"$directory/docs/operations.md" <<'END_OF_PAGE'
| `no_event` | error | a table of another section |

## Log events

| event | level | meaning | act when |
| --- | --- | --- | --- |
| `store_available`, `store_unavailable` | info | `reason` doesn't name an event here | |
| `lease_expired` | info | a controller's | |
| `lease_expired machine=` | info | a worker's | |
| `answer_malformed` | error | | |

At `debug`: `task_running`,
`task_dropped`.

`no_event` either.

## Another section

| `no_event` | error | | |
END_OF_PAGE
  printf '# Comment\n\nmachine  a name\ntask\nreason\ncount\n' >"$directory/.ci/log-keys.txt"
  cat >"$directory/src/shard/a.cpp" <<'END_OF_SOURCE'
  // spdlog::info("not_a_call");
  spdlog::info("{}", available ? "store_available" : "store_unavailable");
  spdlog::info("lease_expired");
  spdlog::info("lease_expired machine={} reason=no_contact", name);
  spdlog::error("answer_malformed reason=\"{} a=b\"", text);
  if (slow) spdlog::debug("task_running task={} "
                          "machine={}",
                          id, name);
  spdlog::debug(
      "task_dropped task={} count={:.1f}", id, count);
END_OF_SOURCE
}
# expect_line WHAT LINE OUTPUT: fails with this line added to a source that passes.
expect_line() {
  fresh_tree
  echo "  $2" >"$directory/src/shard/b.h"
  expect "$1" fail "$3"
}
# expect_edit WHAT FILE SED_COMMAND OUTPUT: fails once a file is edited.
expect_edit() {
  fresh_tree
  cp "$directory/$2" "$directory/before"
  sed -i -E "$3" "$directory/$2"
  ! cmp -s "$directory/before" "$directory/$2" || { echo "FAILED: $1: the edit changes nothing"; exit 1; }
  expect "$1" fail "$4"
}

fresh_tree
expect "sources and description that agree" pass
expect_line "an event that isn't described" 'spdlog::info("no_event");' \
  "src/shard/b.h:1: event no_event isn't listed in docs/operations.md"
expect_line "a choice with an event that isn't described" 'spdlog::info("{}", a ? "store_available" : "no_event");' \
  "src/shard/b.h:1: event no_event isn't listed"
expect_line "a choice that names no event" 'spdlog::info("{}", text);' "src/shard/b.h:1: no event is named"
expect_line "another level" 'spdlog::warn("lease_expired");' \
  "event lease_expired is logged at warn, listed in docs/operations.md at info"
expect_line "another level than debug" 'spdlog::info("task_running");' \
  "event task_running is logged at info, listed in docs/operations.md at debug"
expect_line "a second spelling of a key" 'spdlog::info("lease_expired host={}", name);' \
  "src/shard/b.h:1: key host isn't listed in .ci/log-keys.txt"
expect_line "a key with a quoted value" 'spdlog::info("lease_expired why=\"{}\"", name);' "key why isn't listed"
expect_line "a sentence" 'spdlog::info("lease expired on {}", name);' \
  "src/shard/b.h:1: not of the form 'event_name key=value ...': lease expired on {}"
expect_line "text before the event" 'spdlog::info("{} lease_expired", name);' "not of the form"
expect_line "a message from elsewhere" 'spdlog::info(text);' "src/shard/b.h:1: the message isn't a literal"
expect_edit "an event that isn't logged any more" src/shard/a.cpp '/"answer_malformed/d' \
  "docs/operations.md: event answer_malformed isn't logged in src"
expect_edit "an event at debug that isn't logged any more" src/shard/a.cpp 's/task_dropped/task_running/' \
  "docs/operations.md: event task_dropped isn't logged in src"
expect_edit "an event that was renamed in the description" docs/operations.md 's/store_unavailable/store_gone/' \
  "src/shard/a.cpp:2: event store_unavailable isn't listed"
expect_edit "an event with two levels" docs/operations.md 's/(lease_expired machine=` \|) info/\1 error/' \
  "docs/operations.md: lease_expired is listed with two levels"
expect_edit "no section" docs/operations.md 's/^## Log events/## Events/' "no events under 'Log events'"
expect_edit "a key that isn't in use" .ci/log-keys.txt 's/^count/count\nsize/' ".ci/log-keys.txt: key size isn't in use"
expect_edit "a key listed twice" .ci/log-keys.txt 's/^count/count\ntask/' ".ci/log-keys.txt: task is listed twice"

finish
