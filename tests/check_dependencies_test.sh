#!/usr/bin/env bash
# usage: check_dependencies_test.sh CHECK_DEPENDENCIES_SCRIPT
# Tests which dependencies between packages .ci/check-dependencies accepts and reports, on small source trees.
set -euo pipefail
script=$1
# shellcheck source=tests/script_test_lib.sh
source "$(dirname "$0")/script_test_lib.sh"

# Creates a valid tree. Dependencies: app -> shard -> protocol -> base, and net -> base.
fresh_tree() {
  remove_tree
  cat >"$directory/README.md" <<'END'
| package (`src/`) | responsibility |
| --- | --- |
| `base` | types |
| `protocol` | messages |
| `net` | sockets |
| `shard` | shards |
| `app` | command line |
END
  cat >"$directory/CMakeLists.txt" <<'END'
function(package name)
endfunction()
package(base SOURCES a.cpp USES spdlog::spdlog)
package(protocol SOURCES a.cpp USES base ${LIBRARY})
package(net SOURCES a.cpp
        USES base)  # a declaration over two lines
package(shard SOURCES a.cpp USES protocol)
target_link_libraries(beaconsill PRIVATE shard CLI11::CLI11)
END
  for package in base protocol net shard app; do
    mkdir -p "$directory/src/$package"
    printf '#include <vector>\n#include "%s/a.h"\n' "$package" >"$directory/src/$package/a.cpp"
  done
}
# add_include FROM TO: makes package FROM include a header of package TO.
add_include() { echo "#include \"$2/a.h\"" >>"$directory/src/$1/a.cpp"; }

fresh_tree
add_include protocol base
add_include shard protocol
add_include shard base
add_include app shard
expect "declared dependencies, direct and indirect" pass
fresh_tree
add_include base protocol
expect "an include of a package further down in the table" fail \
  "src/base/a.cpp:3: base includes protocol, which is not listed above it"
fresh_tree
add_include shard net
expect "an include of a package that is not a declared dependency" fail \
  "src/shard/a.cpp:3: shard includes net, but CMakeLists.txt"
fresh_tree
add_include app net
expect "an include by app of a package that it does not link to" fail \
  "src/app/a.cpp:3: app includes net, but CMakeLists.txt"
fresh_tree
sed -i 's/^package(base .*/package(base SOURCES a.cpp USES shard)/' "$directory/CMakeLists.txt"
expect "a declared dependency on a package further down in the table" fail \
  "CMakeLists.txt: base depends on shard, which is not listed above it"
add_include protocol shard
expect "a cycle of declared dependencies" fail "src/protocol/a.cpp:3: protocol includes shard"
fresh_tree
mkdir "$directory/src/extra"
expect "a package that is missing from the table" fail "package extra is missing from the layout table"
fresh_tree
rm -r "$directory/src/net"
expect "a package in the table without a directory" fail "lists package net, but src/net does not exist"
fresh_tree
sed -i '/^package(shard/d' "$directory/CMakeLists.txt"
expect "a package that is not declared in CMakeLists.txt" fail "package shard is not declared"

finish
