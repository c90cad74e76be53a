# Library for the tests of the scripts under .ci. Each test runs a script on small source trees that it
# creates in $directory: it sets `script`, sources this file, calls `expect` for each case, and ends with
# `finish`.
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
failures=0

# Deletes the contents of $directory.
remove_tree() { find "$directory" -mindepth 1 -delete; }

# expect DESCRIPTION VERDICT [OUTPUT]: runs `$script $directory`, and checks that it passes or fails according
# to VERDICT ("pass" or "fail"), and that a line of its output contains the text OUTPUT.
expect() {
  local description=$1 expected=$2 text=${3:-} verdict=pass
  "$script" "$directory" >"$directory/output" 2>&1 || verdict=fail
  # `echo` adds an empty line, so that an empty text is also found if the script prints nothing.
  if [ "$verdict" != "$expected" ] || ! grep -qF -- "$text" <(echo; cat "$directory/output"); then
    echo "FAILED: $description: expected $expected and output with '$text', got $verdict and this output:"
    cat "$directory/output"
    failures=$((failures + 1))
  fi
}

# Succeeds if every call of `expect` saw what it expected.
finish() { [ "$failures" -eq 0 ]; }
