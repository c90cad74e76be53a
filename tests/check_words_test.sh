#!/usr/bin/env bash
# usage: check_words_test.sh CHECK_WORDS_SCRIPT
# Tests which occurrences of retired words .ci/check-words reports, on small source trees.
set -euo pipefail
script=$1
# shellcheck source=tests/script_test_lib.sh
source "$(dirname "$0")/script_test_lib.sh"

# Creates a tree without retired words. The words "foo_bar" and "quux" are retired; "quux" is a name of the
# protocol.
fresh_tree() {
  remove_tree
  mkdir -p "$directory"/.ci "$directory"/src/protocol "$directory"/src/shard "$directory"/tests
  printf '# Comment lines are ignored: lease\n\nquux\nfoo_bar\n' >"$directory/.ci/retired-words.txt"
  echo 'json["quux"] = token;' >"$directory/src/protocol/worker.cpp"
  echo 'int lease;' >"$directory/src/shard/shard.cpp"
}

# expect_line DESCRIPTION FILE LINE VERDICT [OUTPUT]: expects this verdict (pass or fail) and output after a
# file with this line is added to a valid tree.
expect_line() {
  fresh_tree
  mkdir -p "$(dirname "$directory/$2")"
  printf 'int ok;\n%s\n' "$3" >"$directory/$2"
  expect "$1" "$4" "${5:-}"
}

fresh_tree
expect "a tree without retired words" pass
expect_line "a word in snake_case" src/shard/a.cpp 'int old_quux_value;' fail 'src/shard/a.cpp:2: retired word "quux"'
expect_line "a private member" src/shard/a.h 'int quux_;' fail 'src/shard/a.h:2:'
expect_line "the first part of lower CamelCase" src/shard/a.cpp 'int quuxValue;' fail 'src/shard/a.cpp:2:'
expect_line "a middle part of CamelCase" src/shard/a.cpp 'struct OldQuuxValue {};' fail 'src/shard/a.cpp:2:'
expect_line "a constant" src/shard/a.cpp 'constexpr int kQuux = 1;' fail 'src/shard/a.cpp:2:'
expect_line "a word in upper case" src/shard/a.cpp '#define OLD_QUUX' fail 'src/shard/a.cpp:2:'
expect_line "a comment" src/shard/a.cpp '// Reads the quux.' fail 'src/shard/a.cpp:2:'
expect_line "a string" src/shard/a.cpp 'log("no quux here");' fail 'src/shard/a.cpp:2:'
expect_line "part of a longer word" src/shard/a.cpp 'int quuxet, prequux, Quuxet, prequuxed;' pass
expect_line "a compound word" tests/a.cpp 'int foo_bar_;' fail 'tests/a.cpp:2: retired word "foo_bar"'
expect_line "a compound word in CamelCase" tests/a.cpp 'struct FooBar;' fail 'tests/a.cpp:2:'
expect_line "a compound word with a hyphen" tests/a.cpp '// The foo-bar.' fail 'tests/a.cpp:2:'
expect_line "the separate parts of a compound word" tests/a.cpp 'int foo, bar;' pass
expect_line "a file name" src/shard/old_quux.cpp '' fail 'src/shard/old_quux.cpp:0: retired word "quux"'
expect_line "an identifier in src/protocol" src/protocol/quux.cpp 'int quux;' pass
expect_line "a test of the encodings" tests/encoding_samples_peer_test.cpp 'int quux;' pass
expect_line "a quoted name of the protocol in a test" tests/a.cpp 'body["quux"] = 1;' pass
expect_line "a name of the protocol in a JSON string literal" tests/a.cpp 'parse("{\"quux\":1}");' pass
expect_line "a quoted name of the protocol outside tests" src/shard/a.cpp 'body["quux"] = 1;' fail 'src/shard/a.cpp:2:'
expect_line "a word in a string literal of a test" tests/a.cpp 'log("quux lost");' fail 'tests/a.cpp:2:'
expect_line "a retired word next to a quoted name of the protocol" tests/a.cpp 'int quux = body["quux"];' fail 'tests/a.cpp:2:'
expect_line "the contents of a fault scenario" tests/fault_scenarios/a.toml 'quux = 1' pass
expect_line "the number of retired words in a directory" src/shard/a.cpp 'int quux;' fail 'retired words in src/shard: 1'
fresh_tree
echo '# no words' >"$directory/.ci/retired-words.txt"
expect "a word list without words" fail "the list of words is empty"
echo 'Quux' >"$directory/.ci/retired-words.txt"
expect "a listed word that is not in lower case" fail "not in lower-case snake_case: Quux"

finish
