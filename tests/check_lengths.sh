#!/usr/bin/env bash
# No file of the gateway's control side is over 600 lines: tests/check_lengths.sh [ROOT]
set -euo pipefail
cd "${1:-$(dirname "$0")/..}"
most=600
long=$(find src/{agreement,console,coordination,registry_replication,storage,system} -type f -exec wc -l {} + | awk -v most="$most" '$2 != "total" && $1 > most')
if [ -n "$long" ]; then
  echo "over $most lines; split by job:" >&2
  echo "$long" >&2
  exit 1
fi
echo "no file of src/{agreement,console,coordination,registry_replication,storage,system} over $most lines"
