#!/usr/bin/env bash
# Drives the adapter binary itself: framing, replies, and what it does on malformed input.
set -u
adapter=$1
failed=0

expect() {  # expect NAME EXIT-CODE OUT-PATTERN ERR-PATTERN, the input on standard input
  local out err code
  err=$(mktemp)
  out=$("$adapter" 2>"$err" | tr '\n' '|'; exit "${PIPESTATUS[0]}"); code=$?
  if [ "$code" -ne "$2" ] || ! grep -Eq -- "$3" <<<"$out" || ! grep -Eq -- "$4" <<<"$(cat "$err")"; then
    echo "FAILED: $1 (exit $code)"; echo "--- out"; echo "$out"; echo "--- err"; cat "$err"
    failed=1
  fi
  rm -f "$err"
}

settings='siblings=1 me=0 discovery=pushed limits.max_attempts=3 request_classes.count=1
 request_classes.0.name=read request_classes.0.aim_ns=400000000 request_classes.0.deadline_ns=1000000000
 request_classes.0.effect=read_like tariffs.count=1 tariffs.0.name=basic rules.cold_ns=1000000000'
settings=$(tr -d '\n' <<<"$settings")
list='MEMBERS scope=disk seq_no=1 lines=1
M host=7 dc=a flavor=k cell=0 availability=IN capacity_hint=1'
request='REQUEST ticket=5 contract=basic spread=1 set_from=0 patience_left_ns=900000000 type=read user_key=u'

expect "empty batch" 0 '^ACK[|]$' '^$' <<<$'ROUND time_ns=1\nEOB'
expect "a request is sent on" 0 '^ACK[|]BY i=2[|]ISSUE ticket=5 host=7 [^|]*[|]ACK[|]$' '^$' <<EOT
ROUND time_ns=1
ON i=2
PROVISION random_seed=1 $settings
$list
EOB
ROUND time_ns=2000000
ON i=2
$request
EOB
EOT
expect "killed and started in one batch: no host is known but those of the new list" 0 \
  '^ACK[|]BY i=2[|]BOUNCE ticket=5[^|]*[|]ACK[|]$' '^$' <<EOT
ROUND time_ns=1
ON i=2
PROVISION random_seed=1 $settings
$list
EOB
ROUND time_ns=2000000
ON i=2
DETACH
PROVISION random_seed=2 $settings
MEMBERS scope=disk seq_no=1 lines=0
$request
EOB
EOT
expect "event for an instance never started" 1 '' '^curlewdoor_adapter: line 3: no instance 4 is running' <<EOT
ROUND time_ns=1
ON i=4
$request
EOB
EOT
expect "malformed line" 1 '' '^curlewdoor_adapter: line 3: LEFT: bad number: ticket$' <<EOT
ROUND time_ns=1
ON i=4
LEFT ticket=five
EOB
EOT
expect "truncated batch" 1 '' '^curlewdoor_adapter: line 2: input ends before EOB$' <<<$'ROUND time_ns=1\nON i=4'
exit $failed
