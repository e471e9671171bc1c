#!/usr/bin/env bash
# clang-tidy with the checks of .clang-tidy over the whole gateway's sources: tests/tidy.sh BUILD [FILE...]
# BUILD is configured with CURLEWDOOR_SYSTEM; nothing in it needs to be built. Files told: only these.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "$1" && pwd)
shift
files=("$@")
[ ${#files[@]} -gt 0 ] || files=("$root"/src/{agreement,console,coordination,policy,registry_replication,service_registry,storage,system}/*.cpp)

# g++'s options that clang doesn't know are no finding; standard error has the count of suppressed warnings.
tidy() {
  local notes
  notes=$(clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option "$1" 2>&1) && return
  echo "$notes"
  return 1
}
export -f tidy
export build
printf '%s\0' "${files[@]}" | xargs -0 -P "${JOBS:-$(nproc)}" -I {} bash -c 'tidy {}'
echo "clang-tidy: ${#files[@]} files clean"
