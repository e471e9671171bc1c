#!/usr/bin/env bash
# Adds up the logs of a whole fleet: the last `figures` line of each gateway's life, summed, and what its module said, by
# second and kind. For days with a hundred gateways, where one log shows nothing.   bench/fleet_logs.sh DIR
set -euo pipefail
dir=${1:?usage: bench/fleet_logs.sh DIR, the folder with the gateways\' logs}
shopt -s nullglob
logs=("$dir"/*.log)
[ ${#logs[@]} -gt 0 ] || { echo "fleet_logs: $dir holds no .log file" >&2; exit 1; }
awk '
  # A gateway that was restarted begins a new life in the same log: its figures start again from 0.
  function close_life(  key) { for (key in last) sum[key] += last[key]; delete last }
  FNR == 1 { close_life(); ++gateways }
  / listens on / { close_life(); ++lives }
  / figures: / {
    line = $0
    sub(/.* figures: /, "", line)
    gsub(/;/, "", line)
    sub(/hosts. connections /, "held ", line)
    sub(/counter.s /, "counter_lines ", line)
    sub(/ on sockets /, " on_sockets ", line)
    sub(/log lines dropped /, "dropped ", line)
    n = split(line, word, " ")
    for (i = 1; i < n; i += 2) last[word[i]] = word[i + 1]
  }
  / module: / {
    text = $0
    sub(/.* module: /, "", text)
    gsub(/[0-9]+%/, "N%", text)
    said[sprintf("%6d s  %s", $1, text)]++
  }
  END {
    close_life()
    printf "gateways %d, lives %d\n", gateways, lives
    m = split("requests served refused failed attempts calls held opened accepted shed dropped", order, " ")
    for (i = 1; i <= m; ++i) printf "%-9s %d\n", order[i], sum[order[i]]
    for (key in said) printf "%s: %d\n", key, said[key] | "sort -n"
  }' "${logs[@]}"
