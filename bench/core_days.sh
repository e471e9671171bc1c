#!/usr/bin/env bash
# Plays the days of bench/days with each closing fault on the given sites and prints one line a day. A kind of
# trouble whose contract isn't open on a site is left out there, and the line says so.
#   bench/core_days.sh FLEETBENCH SITE...   DAYS: a pattern of files (core-*); JOBS: days at once (3);
#                                           CLOSINGS: all (default) or own, the one that stands in the file
# Exit code: 0 if every rule and gate held, else 1.
set -uo pipefail
bench=$1
shift
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
play() {  # SITE DAY CLOSING
  local name day kind left=""
  name=$(basename "$1" .toml)-$(basename "$2" .toml)-${3%%:*}
  day=$folder/$name.toml
  if [ "$3" = own ]; then
    cp "$2" "$day"
  else
    sed "s|^closing = .*|closing = { kind = \"${3%%:*}\"${3#*:} }|" "$2" >"$day"
  fi
  while :; do
    "$bench" run "$1" "$day" --no-cpu --jobs 1 --why "Core day $name" >"$folder/$name.out" 2>&1
    kind=$(sed -n 's/^fleetbench: \([a-z_]*\): contract .* is not open$/\1/p' "$folder/$name.out" | head -n 1)
    [ -n "$kind" ] || break
    left="$left $kind"
    sed -i "/kind = \"$kind\"/d" "$day"
  done
  local found
  found=$(grep -E 'BROKEN|short of the gate|no result|FAULT|^fleetbench:' "$folder/$name.out" | head -n 3)
  grep -qE '^day ' "$folder/$name.out" || found="$found no day"
  [ -z "$found" ] || touch "$folder/failed"
  echo "$name: ${found:-held}${left:+; without$left}: $(grep -A1 '^day ' "$folder/$name.out" | tail -1 | tr -s ' ')"
}
export -f play
export bench folder
closings=('power_off_all:, down_s = 0.7' 'wipe_after_ack:, down_s = 0.8, how = "aimed"' 'kill_all:, down_s = 0.6')
[ "${CLOSINGS:-all}" = own ] && closings=(own)
for site in "$@"; do
  for day in $(dirname "$0")/days/${DAYS:-core-*}.toml; do
    for closing in "${closings[@]}"; do
      printf '%s\0%s\0%s\0' "$site" "$day" "$closing"
    done
  done
done | xargs -0 -n3 -P"${JOBS:-3}" bash -c 'play "$0" "$1" "$2"'
[ ! -e "$folder/failed" ]
