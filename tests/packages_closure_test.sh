#!/usr/bin/env bash
# tests/packages_closure.sh on a small program's build: a package that is left out of the list is found, by a header,
# a library, CMake's own or a tool, and so is a header that no package has.
set -euo pipefail
script=$(cd "$(dirname "$0")" && pwd)/packages_closure.sh
place=$(mktemp -d)
trap 'rm -rf "$place"' EXIT
failed=0

mkdir "$place/source" "$place/elsewhere"
echo '#define ANSWER 0' >"$place/elsewhere/answer.h"
cat >"$place/source/CMakeLists.txt" <<'END'
cmake_minimum_required(VERSION 3.22)
project(small LANGUAGES CXX)
find_package(fmt REQUIRED)
add_executable(small main.cpp)
target_include_directories(small PRIVATE ${ELSEWHERE})
target_link_libraries(small PRIVATE fmt::fmt ev)
END

build() {  # build NAME LINE-OF-THE-PROGRAM [OPTION...]
  printf '%s\nint main() { return ev_version_major() == 0 && fmt::format("") == ""; }\n' "$2" >"$place/source/main.cpp"
  cmake -S "$place/source" -B "$place/$1" "${@:3}" >/dev/null
  cmake --build "$place/$1" >/dev/null
}

expect() {  # expect CODE TEXT BUILD PACKAGE...: the exit code with this list, and what the output holds
  local code=0 told=$1 text=$2 name=$3 output
  shift 3
  printf 'packages = [%s]\n' "$(printf '"%s", ' "$@" | sed 's/, $//')" >"$place/deploy.toml"
  output=$("$script" "$place/$name" "$place/deploy.toml" 2>&1) || code=$?
  if [ "$code" -eq "$told" ] && grep -qE -- "$text" <<<"$output"; then return; fi
  echo "FAILED: exit $code, not $told, or no '$text', with packages $*"
  echo "$output"
  failed=1
}

build good '#include <ev.h>
#include <fmt/format.h>'
expect 0 "all brought by the 5 promised" good cmake g++ make libev-dev libfmt-dev
expect 1 "^libev-dev: [0-9]+ files, such as /usr/" good cmake g++ make libfmt-dev  # header and library
expect 1 "^libfmt-dev: [0-9]+ files, such as /usr/" good cmake g++ make libev-dev  # and CMake's package
expect 1 "^make: [0-9]+ files, such as /usr/bin/g?make" good g++ cmake libev-dev libfmt-dev
expect 1 "^cmake: 1 files, such as /usr/bin/cmake" good g++ make libev-dev libfmt-dev
expect 1 "^libev4: 1 files, such as /usr/lib/.*/libev.so" good cmake g++ make libfmt-dev
expect 1 "^no-such-package: not installed" good cmake g++ make libev-dev libfmt-dev no-such-package

build foreign '#include <answer.h>
#include <ev.h>
#include <fmt/format.h>' -DELSEWHERE="$place/elsewhere"
expect 1 "^of no package: 1 files, such as $place/elsewhere/answer.h" foreign cmake g++ make libev-dev libfmt-dev

mkdir "$place/empty"
expect 1 "empty: not a build" empty cmake g++ make
exit "$failed"
