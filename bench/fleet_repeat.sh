#!/usr/bin/env bash
# Plays each rehearsal of a fleet and of duties with real processes again and again and counts the runs that did not hold.
#   bench/fleet_repeat.sh [RUNS] [AT_ONCE] [KIT] [FILES]   20 runs, 4 at once, build/curlewdoor-kit, all; FILES: a pattern
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
runs=${1:-20} at_once=${2:-4} kit=${3:-$here/../build/curlewdoor-kit}
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
play() {  # FILE RUN
  "$kit" fleet "$1" >"$logs/$(basename "$1").$2" 2>&1 && echo "held $(basename "$1")" || { echo "BROKEN $(basename "$1")"; cat "$logs/$(basename "$1").$2" >&2; }
}
export -f play
export kit logs
for file in "$here"/../rehearsals/{fleet,duty}-*.toml; do
  case $file in *-mix-* | *-long-*) continue ;; esac  # for virtual time
  [[ $file =~ ${4:-.} ]] || continue
  for run in $(seq "$runs"); do printf '%s\0%s\0' "$file" "$run"; done
done | xargs -0 -n2 -P"$at_once" bash -c 'play "$0" "$1"' >"$logs/verdicts"
sort "$logs/verdicts" | uniq -c
! grep -q BROKEN "$logs/verdicts"
