#!/usr/bin/env bash
# tests/check_lengths.sh lets 600 lines pass, and names a file of 601.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
place=$(mktemp -d)
trap 'rm -rf "$place"' EXIT
mkdir -p "$place"/src/{agreement,console,coordination,registry_replication,storage,system}
seq 600 >"$place/src/system/whole.cpp"
"$here/check_lengths.sh" "$place" | grep -q 'no file'
for folder in agreement console coordination registry_replication storage system; do
  seq 601 >"$place/src/$folder/long.hpp"
  if output=$("$here/check_lengths.sh" "$place" 2>&1); then
    echo "FAILED: 601 lines in $folder pass"
    exit 1
  fi
  grep -q "601 src/$folder/long.hpp" <<<"$output"
  rm "$place/src/$folder/long.hpp"
done
