#!/usr/bin/env bash
# How far one gateway on one core goes: for each rate, latencies through it, CPU a request and memory. Open loop, on
# loopback: load generator, gateway, one simulated node that answers at once, and counter with discovery each on a core
# of their own. Long: not run in CI.   bench/one_core.sh BUILD [PLAN] [RATE...]
set -euo pipefail
build=${1:-build}
plan=${2:-open}
shift $(($# < 2 ? $# : 2))
rates=${*:-1000 2000 5000 8000 10000 12000 15000}
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
# In a file, since stand() runs in a subshell.
trap 'xargs -r kill <"$work/pids" 2>/dev/null || true; rm -rf "$work"' EXIT

stand() {  # CORE NAME ARGUMENTS...: starts one and waits for the address that it prints
  local core=$1 name=$2
  shift 2
  taskset -c "$core" "$build/curlewdoor-kit" stand "$name" "$@" >"$work/$name" &
  echo $! >>"$work/pids"
  for _ in $(seq 100); do grep -q listens "$work/$name" && break || sleep 0.05; done
  sed -n 's/.*listens on //p' "$work/$name"
}
serve() {  # starts a gateway anew, so that each rate begins alike; sets gateway and target
  target=127.0.0.1:$((20000 + RANDOM % 20000))
  "$build/curlewdoor-kit" config "$here/one_core.toml" --listen "$target" --discovery "$discovery" \
    --counter "$counter" >"$work/gateway.json"
  taskset -c 1 "$build/curlewdoor" serve --config "$work/gateway.json" 2>"$work/log" &
  gateway=$!
  echo "$gateway" >>"$work/pids"
  for _ in $(seq 100); do
    (exec 3<>"/dev/tcp/${target/://}") 2>/dev/null && break || sleep 0.05
  done
  sleep 0.5
}
cpu_ticks() { awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/$gateway/stat"; }

node=$(stand 2 node --work-ms 0)
counter=$(stand 3 counter)
discovery=$(stand 3 discovery --node "$node")
printf '%8s %8s %9s %9s %9s %9s %8s %8s %8s\n' rate answered p50_ms p99_ms p99.9_ms late99_ms cpu_us cpu_part mem_mb
for rate in $rates; do
  serve
  before=$(cpu_ticks)
  taskset -c 0 "$build/curlewdoor-kit" load "$target" --rate "$rate" --seconds 8 --connections 128 --plan "$plan" \
    >"$work/out"
  after=$(cpu_ticks)
  memory=$(awk '/VmRSS/ { print $2 / 1024 }' "/proc/$gateway/status")
  awk -v rate="$rate" -v ticks=$((after - before)) -v hz="$(getconf CLK_TCK)" -v memory="$memory" '
    /due in/ { for (i = 1; i <= NF; ++i) if ($i == "answered") answered = $(i + 1) / 7 }
    /latency of/ { gsub(/,/, ""); for (i = 1; i <= NF; ++i) { if ($i == "50%") p50 = $(i + 1); if ($i == "99%") p99 = $(i + 1); if ($i == "99.9%") p999 = $(i + 1) } }
    /own lateness/ { gsub(/,/, ""); for (i = 1; i <= NF; ++i) if ($i == "99%") late = $(i + 1) }
    END { printf "%8d %8.0f %9.3f %9.3f %9.3f %9.3f %8.1f %8.2f %8.1f\n", rate, answered, p50, p99, p999, late, ticks / hz * 1e6 / (rate * 8), ticks / hz / 8, memory }' "$work/out"
  kill "$gateway" 2>/dev/null || true
  wait "$gateway" 2>/dev/null || true
done
