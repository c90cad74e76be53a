#!/usr/bin/env bash
# usage: check_dependencies_test.sh CHECK_DEPENDENCIES_SCRIPT
# What .ci/check-dependencies says of small trees of packages.
set -euo pipefail
script=$1
# shellcheck source=tests/script_test_lib.sh
source "$(dirname "$0")/script_test_lib.sh"

# base <- protocol <- shard <- app; net depends on base only.
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
        USES base)  # over two lines
package(shard SOURCES a.cpp USES protocol)
target_link_libraries(beaconsill PRIVATE shard CLI11::CLI11)
END
  for package in base protocol net shard app; do
    mkdir -p "$directory/src/$package"
    printf '#include <vector>\n#include "%s/a.h"\n' "$package" >"$directory/src/$package/a.cpp"
  done
}
include() { echo "#include \"$2/a.h\"" >>"$directory/src/$1/a.cpp"; }

fresh_tree
include protocol base
include shard protocol
include shard base
include app shard
expect "declared dependencies, direct and through others" pass
fresh_tree
include base protocol
expect "a package below" fail "src/base/a.cpp:3: base includes protocol, which doesn't stand above it"
fresh_tree
include shard net
expect "a package above that isn't declared" fail "src/shard/a.cpp:3: shard includes net, but CMakeLists.txt"
fresh_tree
include app net
expect "the same of the command line" fail "src/app/a.cpp:3: app includes net, but CMakeLists.txt"
fresh_tree
sed -i 's/^package(base .*/package(base SOURCES a.cpp USES shard)/' "$directory/CMakeLists.txt"
expect "a declaration that points down" fail "CMakeLists.txt: base uses shard, which doesn't stand above it"
include protocol shard
expect "a cycle of declarations" fail "src/protocol/a.cpp:3: protocol includes shard"
fresh_tree
mkdir "$directory/src/extra"
expect "a package that the table lacks" fail "the table lacks package extra"
fresh_tree
rm -r "$directory/src/net"
expect "a package that is only in the table" fail "there is no package src/net"
fresh_tree
sed -i '/^package(shard/d' "$directory/CMakeLists.txt"
expect "a package that isn't declared" fail "package shard isn't declared"

finish
