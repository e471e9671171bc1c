#!/usr/bin/env bash
# The old program's decisions are what they were before its module was split into parts: the same rehearsals in
# virtual time, with the same seeds, give the same events to the byte. tests/decisions.sums was made by the program
# as it was before (commit 8df58a5); a change of a decision on purpose makes it anew:
#   tests/decisions_test.sh KIT --record
set -euo pipefail
kit=$1
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for name in calm three-at-once counter-loses-37 counter-split node-slow-in-burst; do
  for seed in 1 5; do
    "$kit" rehearse "$here/../rehearsals/$name.toml" --seed "$seed" --json "$work/$name-$seed" >/dev/null || true
    printf '%s  %s-%s\n' "$(sha256sum <"$work/$name-$seed" | cut -d' ' -f1)" "$name" "$seed"
  done
done >"$work/sums"
if [ "${2:-}" = --record ]; then
  cp "$work/sums" "$here/decisions.sums"
  exit
fi
diff "$here/decisions.sums" "$work/sums" || { echo "decisions differ from those recorded" >&2; exit 1; }
