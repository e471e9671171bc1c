#!/usr/bin/env bash
# How the load of control grows: core members as real processes beside hollow gateways (whole gateways without
# traffic, 150 in a process), on loopback. A series of rows, each of one run of under 60 s that ends by itself; under 10
# GB of memory and 20 processes in the largest. Prints Markdown. By hand, not run in CI.
#   bench/scale.sh BUILD [SERIES...]    SERIES: view, gateways, core, hosts, config (all of them if none is named)
# BUILD holds curlewdoor-scale and curlewdoor-system (CURLEWDOOR_KIT and CURLEWDOOR_SYSTEM on).
set -uo pipefail
build=${1:?bench/scale.sh BUILD [SERIES...]}
shift
series=${*:-view gateways core hosts config}
descriptors=20000  # the largest run needs some 7,000 in one process
if [ "$(ulimit -n)" -lt "$descriptors" ]; then ulimit -n "$descriptors" || echo "few descriptors: $(ulimit -n)" >&2; fi
failed=0
row() { timeout 70 "$build/curlewdoor-scale" "$build/curlewdoor-system" "$@" || { echo "failed: $*"; failed=1; }; }
echo "$(nproc) processors, load $(cut -d' ' -f1-3 /proc/loadavg), $(date -u +%Y-%m-%dT%H:%MZ)"
for each in $series; do
  echo
  echo "Series $each:"
  echo
  case $each in
    view) timeout 120 "$build/curlewdoor-scale-view" 30 100 300 900 || failed=1 ;;
    gateways)
      row --gateways 30 --heading
      for gateways in 100 300 600 900; do row --gateways $gateways; done
      ;;
    core)
      row --core 3 --gateways 300 --heading
      for core in 5 8; do row --core $core --gateways 300; done
      ;;
    hosts)
      row --gateways 60 --hosts 0 --changes 1 --heading
      for hosts in 500 1500 3000; do row --gateways 60 --hosts $hosts --changes 1; done
      for news in 5 20; do row --gateways 60 --hosts 1500 --news $news --changes 1; done
      row --gateways 60 --hosts 500 --news 20 --changes 1
      ;;
    config)
      row --gateways 60 --routes 20 --tenants 20 --heading
      for routes in 150 1000 2500 5000; do row --gateways 60 --routes $routes --tenants $routes --changes 5; done
      ;;
    *) echo "no series $each" >&2; exit 2 ;;
  esac
done
exit $failed
