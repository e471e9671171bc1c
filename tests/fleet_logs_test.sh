#!/usr/bin/env bash
# The sums over a fleet's logs, on logs in the daemon's form: two gateways, one of them restarted.
set -euo pipefail
script=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
line() { # SECONDS REQUESTS SERVED OPENED
  echo "$1 2026-01-01T00:00:00.000Z info figures: requests $2 rejected 0 served $3 refused 1 failed 0 attempts $3 calls 4;" \
    "open 0 out 0 on sockets 0; clients 1 accepted 2 shed 0; hosts' connections 3 opened $4; counter's 1; log lines dropped 0"
}
listens="0.0 2026-01-01T00:00:00.000Z info n0 listens on 127.0.0.1:1; 2 classes"
{ echo "$listens"; line 10.0 5 4 2; line 20.0 9 8 3; echo "$listens"; line 10.0 2 1 1; } >"$dir/n0.log"
{ echo "$listens"; echo "7.9 2026-01-01T00:00:00.000Z info module: counter silent: quotas held by share"; line 10.0 7 6 5; } >"$dir/n1.log"
out=$("$script" "$dir")
expect() { grep -qx -- "$1" <<<"$out" || { echo "missing: $1"; echo "$out"; exit 1; }; }
expect 'gateways 2, lives 3'
expect 'requests  18' # 9 + 2 + 7: a life's last line only
expect 'served    15'
expect 'opened    9'
expect 'calls     12'
expect '     7 s  counter silent: quotas held by share: 1'
mkdir "$dir/empty"
! "$script" "$dir/empty" 2>"$dir/error" || { echo "an empty folder passes"; exit 1; }
grep -q 'holds no .log file' "$dir/error"
echo "1 passed, 0 failed"
