#!/usr/bin/env bash
# usage: check_log_events_test.sh CHECK_LOG_EVENTS_SCRIPT
# Tests which log messages .ci/check-log-events accepts and reports, on small trees of sources and
# documentation.
set -euo pipefail
script=$1
# shellcheck source=tests/script_test_lib.sh
source "$(dirname "$0")/script_test_lib.sh"

# Creates a valid tree: each event and each key is both documented and used.
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
# expect_line DESCRIPTION LINE OUTPUT: expects that the check fails with this output after this line of source
# is added to a valid tree.
expect_line() {
  fresh_tree
  echo "  $2" >"$directory/src/shard/b.h"
  expect "$1" fail "$3"
}
# expect_edit DESCRIPTION FILE SED_COMMAND OUTPUT: expects that the check fails with this output after this
# edit of a file of a valid tree.
expect_edit() {
  fresh_tree
  cp "$directory/$2" "$directory/before"
  sed -i -E "$3" "$directory/$2"
  ! cmp -s "$directory/before" "$directory/$2" || { echo "FAILED: $1: the sed command does not change $2"; exit 1; }
  expect "$1" fail "$4"
}

fresh_tree
expect "sources that match their documentation" pass
expect_line "an event that is not documented" 'spdlog::info("no_event");' \
  "src/shard/b.h:1: event no_event is not listed in docs/operations.md"
expect_line "one of several selectable events is not documented" \
  'spdlog::info("{}", a ? "store_available" : "no_event");' \
  "src/shard/b.h:1: event no_event is not listed"
expect_line "a message of '{}' whose argument contains no event name" 'spdlog::info("{}", text);' \
  "src/shard/b.h:1: the argument of '{}' contains no event name"
expect_line "an event logged at another level than documented" 'spdlog::warn("lease_expired");' \
  "event lease_expired is logged at level warn, but docs/operations.md lists it at level info"
expect_line "an event documented at debug and logged at info" 'spdlog::info("task_running");' \
  "event task_running is logged at level info, but docs/operations.md lists it at level debug"
expect_line "a key that is not listed" 'spdlog::info("lease_expired host={}", name);' \
  "src/shard/b.h:1: key host is not listed in .ci/log-keys.txt"
expect_line "a key with a quoted value that is not listed" 'spdlog::info("lease_expired why=\"{}\"", name);' \
  "key why is not listed"
expect_line "a message that is a sentence" 'spdlog::info("lease expired on {}", name);' \
  "src/shard/b.h:1: the log message is not of the form 'event_name key=value ...': lease expired on {}"
expect_line "text before the event name" 'spdlog::info("{} lease_expired", name);' "not of the form"
expect_line "a message from a variable" 'spdlog::info(text);' \
  "src/shard/b.h:1: the log message is not a string literal"
expect_edit "a documented event that is no longer logged" src/shard/a.cpp '/"answer_malformed/d' \
  "docs/operations.md: event answer_malformed is not logged in src"
expect_edit "an event documented at debug that is no longer logged" src/shard/a.cpp 's/task_dropped/task_running/' \
  "docs/operations.md: event task_dropped is not logged in src"
expect_edit "an event that was renamed in the documentation only" docs/operations.md 's/store_unavailable/store_gone/' \
  "src/shard/a.cpp:2: event store_unavailable is not listed"
expect_edit "an event documented with two levels" docs/operations.md 's/(lease_expired machine=` \|) info/\1 error/' \
  "docs/operations.md: lease_expired is listed with two levels"
expect_edit "documentation without a section for log events" docs/operations.md 's/^## Log events/## Events/' \
  "no events are listed under 'Log events'"
expect_edit "a listed key that is not used" .ci/log-keys.txt 's/^count/count\nsize/' \
  ".ci/log-keys.txt: key size is not used in src"
expect_edit "a key listed twice" .ci/log-keys.txt 's/^count/count\ntask/' ".ci/log-keys.txt: task is listed twice"

finish
