#!/usr/bin/env bash
# A gateway that stands still for less than PauseWatch::kPause holds an application's finish in its socket.
# Its caller has given up meanwhile and has begun the same lock anew, which gives it its fence again. When the
# gateway goes on, that old finish must not end the new hold: else another one gets the lock (rule ONE).
# Usage: late_finish.sh PROGRAM
set -euo pipefail
program=$(realpath "$1")
folder=$(mktemp -d)
pids=()
finish() {
  status=$?
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -KILL "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then tail -n 30 "$folder"/*.log >&2; fi
  rm -rf "$folder"
}
trap finish EXIT

net="127.$((216 + $$ % 30)).$(($$ / 30 % 250))"
base=$((20000 + $$ % 900))
data=$base ready=$((base + 1)) control=$((base + 2)) first=$((base + 3)) last=$((base + 18))
readonly gateway=4  # no member: it only takes calls

for m in 1 2 3 4; do
  mkdir "$folder/disk-$m"
  counted=true
  if [ "$m" = $gateway ]; then counted=false; fi
  cat >"$folder/$m.yaml" <<END
node_name: "gateway-$m"
node_role: "gateway"
machine_class: "edge"
served_roles: ["edge", "control"]
ip_address: "$net.$m"
zone: "here"
region: "loopback"
zones: {here: "loopback"}
listen_addresses:
  data_plane: "$net.$m:$data"
  readiness: "$net.$m:$ready"
  control_plane: "$net.$m:$control"
internal_port_range: [$first, $last]
seed_nodes: ["$net.1:$control", "$net.2:$control", "$net.3:$control"]
bootstrap: true
quorum_member: $counted
$(if [ $counted = true ]; then echo "data_directory: \"$folder/disk-$m\""; fi)
heartbeat_ms: 1000
active_contracts: ["base", "drain", "config", "coord"]
fault_tolerance: {machine_failures: 1, zones: 0, region_failures: 0}
bounds: {grace_s: 6}
END
  CURLEWDOOR_NODE_FILE="$folder/$m.yaml" "$program" run gateway >"$folder/$m.log" 2>&1 &
  pids+=($!)
done

# call MACHINE PATH BODY: the answer's head and body on one line.
call() {
  (
    exec 3<>"/dev/tcp/$net.$1/$control"
    printf 'POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %s\r\n\r\n%s' "$2" "${#3}" "$3" >&3
    timeout 3 cat <&3
  ) 2>/dev/null | tr -d '\r' | tr '\n' ' ' || true
}
# Until it is answered 200.
insist() {
  local answer=
  for _ in $(seq 200); do
    answer=$(call "$@")
    if [[ $answer == "HTTP/1.1 200"* ]]; then echo "$answer"; return; fi
    sleep 0.1
  done
  echo "never answered 200: $* : $answer" >&2
  return 1
}
fence_of() { sed -E 's/.*"fence":([0-9]+).*/\1/' <<<"$1"; }

insist $gateway /v1/numbers/n1 '{}' >/dev/null
mine=$(fence_of "$(insist 1 /v1/locks/l1/begin '{"holder":"x","hold_ms":20000}')")

kill -STOP "${pids[$((gateway - 1))]}"
finish_call="{\"holder\":\"x\",\"fence\":$mine}"
(
  exec 3<>"/dev/tcp/$net.$gateway/$control"
  printf 'POST /v1/locks/l1/finish HTTP/1.1\r\nHost: x\r\nContent-Length: %s\r\n\r\n%s' \
    "${#finish_call}" "$finish_call" >&3
  timeout 1 cat <&3 || true  # a second of silence: its caller gives up
)
again=$(fence_of "$(insist 1 /v1/locks/l1/begin '{"holder":"x","hold_ms":20000}')")
echo "x holds l1 by fence $mine, and after its unanswered finish by fence $again"
kill -CONT "${pids[$((gateway - 1))]}"
# Whatever stood in its socket has been taken once a later call of its own is answered.
insist $gateway /v1/numbers/n1 '{}' >/dev/null

for _ in $(seq 20); do
  other=$(call 2 /v1/locks/l1/begin '{"holder":"y","hold_ms":3000}')
  if [[ $other == "HTTP/1.1 200"* ]]; then
    echo "ONE: y got l1 by fence $(fence_of "$other") while x counts itself holder by fence $again" >&2
    exit 1
  fi
done
echo "y was refused while x holds"
