#!/usr/bin/env bash
# ONE: two callers each count themselves holder of one lock, since the finish of an earlier hold comes late.
# The disruption: one gateway of ten stands still for 0.35 s. ROUNDS=squeeze plays another one in its place, for
# which the pages set no dose: the link of that gateway is squeezed.
case_folder=$(cd "$(dirname "$0")" && pwd)
. "$case_folder/../standin/lib.sh"

readonly freeze_s=0.35   # machine 4 stands still for so long
readonly wait_ms=1000    # what machine 4 sends to the other gateways waits so long at its link
readonly hold_ms=20000
readonly watched_s=4     # the second caller goes on asking for so long
rounds=${ROUNDS:-freeze}
readonly machines=10     # as many as a small deployment has, nearly; the first three are the core
broken=0
note "TROUBLE=$trouble; $machines machines, 1 to 3 are the core; rounds: $rounds"

# ---- The deployment ----
touch "$folder/delays"
relayed=false
if [[ $rounds == *squeeze* ]]; then
  relayed=true
  pairs=()
  for m in $(seq "$machines"); do pairs+=("$net.$m:$net.$((200 + m))"); done
  "$standins/relay" "$internal" "$folder/delays" "${pairs[@]}" >>"$folder/relay.log" 2>&1 &
  pids+=($!)
fi
for m in $(seq "$machines"); do
  if [ "$m" -le 3 ]; then start_gateway "$m" true "$relayed"; else start_gateway "$m" false "$relayed"; fi
done
for m in $(seq "$machines"); do
  until_200 25 "$m" POST /v1/numbers/first '{}' >/dev/null || cannot_run "machine $m takes no calls"
done
sleep 4  # contact_ms and more

# ---- The disruptions; the callers are the same with and without them ----
freeze_now() {
  kill -STOP "${gateway_pid[4]}"
  (
    sleep "$freeze_s"
    kill -CONT "${gateway_pid[4]}"
  ) &
  pids+=($!)
  note "machine 4 stands still for $freeze_s s"
}
# The wait grows step by step, as that of a link on which more is sent than it carries.
squeeze() {
  local step to
  for step in 1 2 3 4 5 6 7 8 9 10; do
    for to in 0 1 2 4 5 6 7 8 9; do echo "3 $to $((wait_ms * step / 10))"; done >"$folder/next"
    mv "$folder/next" "$folder/delays"
    sleep 0.3
  done
  note "the link of machine 4 is squeezed: what it sends to the others waits for $wait_ms ms"
  sleep 2
}

# Caller x sends a finish to machine 4 and says so by a file; then it waits for the answer.
finish_at_4() {
  local body="{\"holder\":\"x\",\"fence\":$2}" line
  exec 3<>"/dev/tcp/$net.4/$control" || return
  printf 'POST /v1/locks/%s/finish HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %s\r\n\r\n%s' \
    "$1" "$net.4:$control" "${#body}" "$body" >&3
  touch "$folder/$1-sent"
  if IFS= read -r -t 5 line <&3; then echo "${line%$'\r'}" >"$folder/$1-answered"; fi
  IFS= read -r -t 10 -u 3 -d '' _
}

# ---- One round: ROUND LOCK ----
play() {
  local lock=$2 answer first second x asked held_from held_until ends at
  if [ "$trouble" = 1 ] && [ "$1" = squeeze ]; then squeeze; fi
  answer=$(until_200 5 1 POST "/v1/locks/$lock/begin" "{\"holder\":\"x\",\"hold_ms\":$hold_ms}") ||
    cannot_run "x never got $lock"
  first=$(fence_of "$answer")
  note "$1: x: begin of $lock at machine 1 -> 200, fence $first"

  if [ "$trouble" = 1 ] && [ "$1" = freeze ]; then freeze_now; fi
  finish_at_4 "$lock" "$first" 2>/dev/null &
  x=$!
  pids+=("$x")
  until [ -e "$folder/$lock-sent" ]; do sleep 0.005; done
  note "$1: x: finish with fence $first sent to machine 4; from now on x counts itself holder no more"
  sleep 0.04
  kill -KILL "$x"
  wait "$x" 2>/dev/null
  note "$1: x: died; answered to its finish until then: $(cat "$folder/$lock-answered" 2>/dev/null || echo nothing)"
  sleep 0.04

  asked=$(now_ms)
  answer=$(call 1 POST "/v1/locks/$lock/begin" "{\"holder\":\"x\",\"hold_ms\":$hold_ms}")
  [ "$(status_of "$answer")" = 200 ] || cannot_run "x's second begin was answered: $answer"
  held_from=$(now_ms)
  held_until=$((asked + hold_ms))
  second=$(fence_of "$answer")
  note "$1: x: started again; begin at machine 1 -> 200, fence $second; it counts itself holder until $held_until ms"

  ends=$((held_from + watched_s * 1000))
  while [ "$(now_ms)" -lt "$ends" ]; do
    answer=$(call 2 POST "/v1/locks/$lock/begin" '{"holder":"y","hold_ms":3000}')
    if [ "$(status_of "$answer")" = 200 ]; then
      at=$(now_ms)
      note "$1: y: begin at machine 2 -> 200, fence $(fence_of "$answer")"
      if [ "$at" -lt "$held_until" ]; then
        note "$1: ONE: x counts itself holder of $lock from $held_from to $held_until ms, y from $at ms on"
        broken=1
      fi
      break
    fi
    sleep 0.05
  done
  answer=$(call 1 POST "/v1/locks/$lock/heartbeat" "{\"holder\":\"x\",\"fence\":$second,\"hold_ms\":$hold_ms}")
  note "$1: x: heartbeat with fence $second -> $(status_of "$answer")"
}

count=0
for round in $rounds; do play "$round" "l$((++count))"; done
[ "$broken" = 0 ] || exit 1
note "held: y was refused while x counted itself holder"
exit 0
