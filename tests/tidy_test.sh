#!/usr/bin/env bash
# tests/tidy.sh finds what .clang-tidy lists, and lets pass what is clean.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
place=$(mktemp -d)
trap 'rm -rf "$place"' EXIT
cp "$here/../.clang-tidy" "$place/"
failed=0

expect() {  # expect CODE TEXT SOURCE: the exit code for a file of this text, and what the output holds
  local code=0 output file="$place/case.cpp"
  printf '%s\n' "$3" >"$file"
  printf '[{"directory": "%s", "command": "g++ -std=c++20 -Wno-restrict -c case.cpp", "file": "case.cpp"}]' "$place" \
    >"$place/compile_commands.json"
  output=$("$here/tidy.sh" "$place" "$file" 2>&1) || code=$?
  if [ "$code" -eq "$1" ] && grep -qF -- "$2" <<<"$output"; then return; fi
  echo "FAILED: exit $code, not $1, or no '$2':"
  echo "$output"
  failed=1
}

expect 0 "1 files clean" '#include <string>
std::size_t Size(const std::string& text) { return text.size(); }'
expect 123 "bugprone-use-after-move" '#include <string>
#include <utility>
std::size_t Size(std::string text) { std::string taken = std::move(text); return text.size() + taken.size(); }'
expect 123 "performance-unnecessary-value-param" '#include <string>
std::size_t Size(std::string text) { return text.size(); }'
expect 123 "readability-container-size-empty" '#include <string>
bool None(const std::string& text) { return text.size() == 0; }'
expect 123 "expected" 'int main() { return }'
exit "$failed"
