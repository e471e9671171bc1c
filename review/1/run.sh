#!/usr/bin/env bash
# ONE: two callers each count themselves holder of one lock, after the link of one gateway was squeezed; with
# DISRUPTION=freeze after that gateway stood still for 0.4 s, its link being as always.
case_folder=$(cd "$(dirname "$0")" && pwd)
. "$case_folder/../standin/lib.sh"

readonly wait_ms=1000    # packets of machine 4 wait so long at its link
readonly freeze_s=0.4
disruption=${DISRUPTION:-squeeze}
[ "$trouble" = 1 ] || disruption=none
readonly hold_ms=20000
readonly watched_s=5     # the second caller goes on asking for so long
note "TROUBLE=$trouble; machines 1 to 3 are the core, machine 4 only takes calls; disruption: $disruption"

# ---- The deployment ----
touch "$folder/delays"
"$standins/relay" "$internal" "$folder/delays" "$net.1:$net.201" "$net.2:$net.202" "$net.3:$net.203" \
  "$net.4:$net.204" >>"$folder/relay.log" 2>&1 &
pids+=($!)
for m in 1 2 3; do start_gateway "$m" true true; done
start_gateway 4 false true
for m in 1 2 3 4; do
  until_200 25 "$m" POST /v1/numbers/first '{}' >/dev/null || cannot_run "machine $m takes no calls"
done
sleep 4  # contact_ms and more

# ---- The squeeze: what machine 4 sends to the others waits longer and longer, up to wait_ms ----
if [ "$disruption" = squeeze ]; then
  for step in 1 2 3 4 5 6 7 8 9 10; do
    for to in 0 1 2; do echo "3 $to $((wait_ms * step / 10))"; done >"$folder/next"
    mv "$folder/next" "$folder/delays"
    sleep 0.3
  done
  note "the link of machine 4 is squeezed: what it sends to the others waits for $wait_ms ms"
else
  sleep 3
fi
sleep 2

# ---- Caller x: takes the lock, gives it back by machine 4, dies, starts again under its name ----
answer=$(until_200 5 1 POST /v1/locks/l1/begin "{\"holder\":\"x\",\"hold_ms\":$hold_ms}") ||
  cannot_run "x never got the lock"
first=$(fence_of "$answer")
note "x: begin at machine 1 -> 200, fence $first"

body="{\"holder\":\"x\",\"fence\":$first}"
if [ "$disruption" = freeze ]; then
  kill -STOP "${gateway_pid[4]}"
  (
    sleep "$freeze_s"
    kill -CONT "${gateway_pid[4]}"
  ) &
  pids+=($!)
  note "machine 4 stands still for $freeze_s s"
fi
(
  exec 3<>"/dev/tcp/$net.4/$control"
  printf 'POST /v1/locks/l1/finish HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %s\r\n\r\n%s' \
    "$net.4:$control" "${#body}" "$body" >&3
  touch "$folder/sent"
  if IFS= read -r -t 5 line <&3; then echo "${line%$'\r'}" >"$folder/finished"; fi
  IFS= read -r -t 10 -u 3 -d '' _
) 2>/dev/null &
x=$!
pids+=("$x")
until [ -e "$folder/sent" ]; do sleep 0.01; done
note "x: finish with fence $first sent to machine 4; from now on x counts itself holder no more"
sleep 0.05
kill -KILL "$x"
wait "$x" 2>/dev/null
note "x: died; what was answered to its finish until then: $(cat "$folder/finished" 2>/dev/null || echo nothing)"
sleep 0.05

asked=$(now_ms)
answer=$(call 1 POST /v1/locks/l1/begin "{\"holder\":\"x\",\"hold_ms\":$hold_ms}")
[ "$(status_of "$answer")" = 200 ] || cannot_run "x's second begin was answered: $answer"
held_from=$(now_ms)
held_until=$((asked + hold_ms))
second=$(fence_of "$answer")
note "x: started again; begin at machine 1 -> 200, fence $second; x counts itself holder until $held_until ms"

# ---- Caller y goes on asking ----
broken=0
ends=$((held_from + watched_s * 1000))
while [ "$(now_ms)" -lt "$ends" ]; do
  answer=$(call 2 POST /v1/locks/l1/begin '{"holder":"y","hold_ms":3000}')
  if [ "$(status_of "$answer")" = 200 ]; then
    at=$(now_ms)
    note "y: begin at machine 2 -> 200, fence $(fence_of "$answer")"
    if [ "$at" -lt "$held_until" ]; then
      note "ONE: x counts itself holder of l1 from $held_from to $held_until ms, y from $at ms on"
      broken=1
    fi
    break
  fi
  sleep 0.05
done
answer=$(call 1 POST /v1/locks/l1/heartbeat "{\"holder\":\"x\",\"fence\":$second,\"hold_ms\":$hold_ms}")
note "x: heartbeat with fence $second -> $(status_of "$answer")"
if [ "$broken" = 1 ]; then exit 1; fi
note "held: y was refused while x counted itself holder"
exit 0
