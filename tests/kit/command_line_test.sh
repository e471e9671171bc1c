#!/usr/bin/env bash
# The kit's commands and exit codes: 0 held, 1 broken, 2 bad usage or file, 3 could not be judged.
set -euo pipefail
kit=$1 rehearsals=$2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

expect() {  # CODE PATTERN COMMAND...
  local code=$1 pattern=$2 got=0
  shift 2
  "$@" >"$folder/out" 2>&1 || got=$?
  if [ "$got" != "$code" ] || ! grep -q -- "$pattern" "$folder/out"; then
    echo "$*: exit $got, expected $code and \"$pattern\":"
    cat "$folder/out"
    exit 1
  fi
}

expect 0 'curlewdoor-kit 0' "$kit" version
expect 0 'Exit: 0 all rules held' "$kit" --help
expect 0 'counter_split' "$kit" faults
expect 2 'no command' "$kit"
expect 2 'unknown command: dance' "$kit" dance
expect 2 'rehearse takes one file' "$kit" rehearse
expect 2 'nowhere.toml: can' "$kit" check "$folder/nowhere.toml"
expect 2 'not both' "$kit" rehearse "$rehearsals/calm.toml" --virtual --sockets
expect 2 'not of the form' "$kit" search "$rehearsals/calm.toml" --seeds 7
expect 2 'not an IPv4 address' "$kit" load somewhere
expect 2 'stand takes one of' "$kit" stand dog
for file in "$rehearsals"/*.toml; do
  case $file in
    */fleet-* | */duty-*) expect 0 'gateways that see one another' "$kit" check "$file" ;;
    *) expect 0 'requests a second' "$kit" check "$file" ;;
  esac
done
expect 0 'alive *held' "$kit" fleet "$rehearsals/fleet-crash.toml" --virtual --json "$folder/fleet.json"
grep -q '"held": true' "$folder/fleet.json"
expect 0 '3 seeds, 0 broken' "$kit" fleet "$rehearsals/fleet-mix-crashes.toml" --seeds 1..3
expect 2 'fleet takes one file' "$kit" fleet
expect 2 'over 110' "$kit" fleet "$rehearsals/fleet-crash.toml" --gateways 200
expect 2 'leaves it out' "$kit" fleet "$rehearsals/fleet-crash.toml" --gateways 3
expect 3 'could not be played' "$kit" fleet "$rehearsals/fleet-crash.toml" --logs /dev/null/logs

sed 's/^gateways = 3/gateways = 3\nspeed = 4/' "$rehearsals/calm.toml" >"$folder/wrong.toml"
expect 2 "wrong.toml:[0-9]*: speed is not known" "$kit" rehearse "$folder/wrong.toml"
printf '\n[[fault]]\nkind = "network_loss"\nat = 1\nfor = 1\npart = 1\nsize = 0.1\n' | cat "$rehearsals/calm.toml" - \
  >"$folder/loss.toml"
expect 2 'play it with --virtual' "$kit" rehearse "$folder/loss.toml" --sockets
expect 0 'all rules held' "$kit" rehearse "$folder/loss.toml"
expect 2 'leaves it out' "$kit" rehearse "$rehearsals/gateways-restart.toml" --gateways 2

expect 0 'all rules held' "$kit" rehearse "$rehearsals/calm.toml" --seed 3 --json "$folder/a.json" --report "$folder/a.html"
expect 0 'all rules held' "$kit" rehearse "$rehearsals/calm.toml" --seed 3 --json "$folder/b.json"
cmp "$folder/a.json" "$folder/b.json"  # the same seed, to the last byte
grep -q '</html>' "$folder/a.html"
expect 3 'could not be played' "$kit" rehearse "$rehearsals/calm.toml" --sockets --program /bin/false
expect 0 'tries a CPU second' "$kit" search "$rehearsals/calm.toml" --seeds 1..4
echo "the kit's command line: as stated"
