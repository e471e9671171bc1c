#!/usr/bin/env bash
# What bench/regression.sh makes of lines that benches print, failing ones among them.   regression_test.sh SCRIPT
set -uo pipefail
script=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export CURLEWDOOR_REGRESSION_LAST=$work/last
printf 'later 0.863\nstanding 0.534\nsystem-wnd 0.860\n' >"$work/last"
failures=0
expect() {  # CODE TEXT PANEL LINES...
  local code=$1 text=$2 panel=$3
  shift 3
  printf '%s\n' "$@" >"$work/log"
  local said
  said=$("$script" --judge "$panel" "$work/log")
  local got=$?
  if [ "$got" -ne "$code" ] || [[ $said != *"$text"* ]]; then
    echo "expected $code and '$text', got $got: $said" >&2
    failures=$((failures + 1))
  fi
}
day='churn                      G 0.934  floor 0.532  top 0.982  score 0.89'
expect 0 held later "$day" 'score of the real nodes 0.859 (the weighted mean of the days)'
expect 0 held later "$day" 'score of the real nodes 0.834 (the weighted mean of the days)'
expect 1 FELL later "$day" 'score of the real nodes 0.832 (the weighted mean of the days)'
expect 0 'last none' new "$day" 'score of the real nodes 0.100 (the weighted mean of the days)'
expect 1 'RULE BROKEN on churn' later 'churn  G -0.080  score 0.00  BROKEN: fault' 'score of the real nodes 0.900 (x)'
expect 1 'RULE BROKEN, crash' later '    node n0 crashed: exited with 1' 'score of the real nodes 0.900 (x)'
expect 0 'gate passed' standing 'score of the real nodes 0.540 (x)' 'GATE passed (three of the six days)'
expect 1 'GATE FAILED' standing 'score of the real nodes 0.900 (x)' 'GATE failed: calm+mass, served'
expect 1 'NO FIGURE' later 'building ...' 'error: no such file'
expect 0 held grown 'quick estimate on the standard days of java-newsdesk-later (set b088ce5c): 0.756, +0.000 against snapshot e47f'
# The whole system: its score's line, with or without something to compare, and hunts, which have no figure.
score='score on the standard days of wnd-gerbang-grown (set f86d0ad2): 0.840, +0.011 against snapshot e47f'
expect 0 'last 0.860' system-wnd "$score" 'GATE passed'
expect 1 'GATE FAILED' system-wnd "$score" 'GATE failed: trouble-2: QUOTA broken'
expect 0 'system-new     0.296' system-new 'score on the standard days of wnd-gerbang (set b253816d): 0.296' 'GATE passed'
expect 0 'held, 32 days' hunt-wnd '32 days on wnd-gerbang, 0 with a rule broken' "$day"
expect 1 'RULE BROKEN on 2 of 32 days' hunt-wbg '32 days on wbg-ergebnis, 2 with a rule broken'
expect 1 'RULE BROKEN on scale-1' hunt-wbg '32 days on wbg-ergebnis, 1 with a rule broken' \
  'scale-1 --seed 8  13/33  0.00  0.725  BROKEN: QUOTA 1 (else 0.96)'
expect 1 'NO DAYS' hunt-wnd 'the build failed:' 'error: ld returned 1 exit status'
# A missing kit is said, and starts nothing.
CURLEWDOOR_OPERATORS_KIT=$work/none "$script" 2>"$work/error"
[ $? -eq 2 ] && grep -q 'is missing' "$work/error" || { echo "a missing kit: $(cat "$work/error")" >&2; failures=$((failures + 1)); }
CURLEWDOOR_OPERATORS_KIT=$work/none "$script" --system 2>"$work/error"
[ $? -eq 2 ] && grep -q 'fleetbench is missing' "$work/error" || { echo "a missing kit: $(cat "$work/error")" >&2; failures=$((failures + 1)); }
"$script" --nonsense 2>/dev/null
[ $? -eq 2 ] || { echo "bad usage was taken" >&2; failures=$((failures + 1)); }
[ $failures -eq 0 ] && echo "20 passed, 0 failed"
exit $failures
