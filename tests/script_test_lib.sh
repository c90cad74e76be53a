# Frame of the tests of scripts under .ci: what SCRIPT says of small trees that a test writes into $directory.
# A test sets `script`, sources this file, calls `expect` for each case, and ends with `finish`.
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
failures=0

# Empties $directory.
remove_tree() { find "$directory" -mindepth 1 -delete; }

# expect WHAT VERDICT [OUTPUT]: `$script $directory` passes or fails, and prints a line with this text.
expect() {
  local what=$1 expected=$2 text=${3:-} verdict=pass
  "$script" "$directory" >"$directory/output" 2>&1 || verdict=fail
  # The empty line is for an empty text, which any output contains, also none.
  if [ "$verdict" != "$expected" ] || ! grep -qF -- "$text" <(echo; cat "$directory/output"); then
    echo "FAILED: $what: expected $expected and '$text', got $verdict:"
    cat "$directory/output"
    failures=$((failures + 1))
  fi
}

# The test's own verdict.
finish() { [ "$failures" -eq 0 ]; }
