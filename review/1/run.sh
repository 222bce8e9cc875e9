#!/usr/bin/env bash
# A machine that lost its path to some servers reaches them through another one,
# which is killed in the middle of answers without a length. See claim.txt.
# TROUBLE=0: no path is cut, and no machine is killed. HOW=term: machine 2 gets
# SIGTERM instead, and ends after its grace.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
source "$here/../lib.sh"

trouble=${TROUBLE:-1} how=${HOW:-kill}
zones=(kochi-hall thrissur-hall aluva-hall kottayam-hall)
zone_of=(- kochi-hall kochi-hall thrissur-hall aluva-hall kottayam-hall)
machines=(1 2 3 4 5) servers=(0 1 2 3 4 5 6 7 8 9)
regions=kochi-hall=kerala-south,thrissur-hall=kerala-south,aluva-hall=kerala-south,kottayam-hall=kerala-south
retry_fixed=58 version_ms=10000 version_all_ms=14000
beat_ms=1200 events=50 clients=40
set_ports
seeds=127.0.1.1:$control,127.0.1.2:$control,127.0.1.3:$control

start_store $((3 * beat_ms)) 5
put_row op config '{"version":3,"routes":[{"name":"pantry-digest","host":"a.example","path_prefix":"/stream/","kind":"streaming","service":"lm-pool","timeout_ms":15000,"target_latency_ms":1000,"priority":2,"max_attempts":1,"resumable":false},{"name":"list-sync","host":"a.example","path_prefix":"/sync/","kind":"idempotent","service":"lm-pool","timeout_ms":3000,"target_latency_ms":100,"priority":2,"max_attempts":2}],"services":[{"name":"lm-pool","max_connections":370}],"tenants":[{"name":"kavu","api_keys":["key-kavu"]}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}' ||
  cannot_run "the store did not take the configuration"
for n in "${servers[@]}"; do
  start_server "$n" lm-pool "${zones[n % 4]}" 15 "$beat_ms" "" 3 "$events" 5
done
for n in "${machines[@]}"; do start_instance "$n" "${zone_of[n]}"; done
for n in "${machines[@]}"; do
  await 15 is_ready "$n" || cannot_run "machine $n did not become ready"
done
sleep 4
for n in "${machines[@]}"; do
  status=$(send "$n" key-kavu "before-$n" /sync/a)
  say "sent before-$n to machine $n: $status"
  [ "$status" = 200 ] || cannot_run "machine $n does not serve"
done

if [ "$trouble" != 0 ]; then
  touch "$run_dir/cut-i-0-1-1" "$run_dir/cut-i-1-1-1"
  say "machine 1 loses its path to servers 0 and 1: connections end and are refused"
  sleep 0.2
fi

read_stream() { # read_stream ID: leaves ID.events, and status and exit code in ID.end
  local status code=0
  status=$(curl -sN -m 15 -o "$run_dir/$1.events" -w '%{http_code}' -X POST \
    -H 'Host: a.example' -H "X-Attempt-Id: $1" -H 'X-Deadline-Ms: 15000' \
    -H 'Authorization: Token key-kavu' --data-binary prompt \
    "http://127.0.1.1:$front/stream/a") || code=$?
  echo "$status $code" >"$run_dir/$1.end"
}
readers=()
for ((i = 1; i <= clients; i++)); do
  read_stream "stream-$i" &
  readers+=($!)
done
say "sent stream-1 to stream-$clients to machine 1"
if [ "$trouble" != 0 ] && [ "$how" = kill ]; then
  sleep 3
  lose front-2
  say "SIGKILL to machine 2"
  sleep 1
  start_instance 2 "${zone_of[2]}"
  say "machine 2 started again"
  sleep 0.8
elif [ "$trouble" != 0 ]; then
  sleep 1
  kill -TERM "${pid_of[front-2]}"
  say "SIGTERM to machine 2"
  sleep 3.8
fi
if [ "$trouble" != 0 ]; then
  rm "$run_dir"/cut-*
  say "machine 1 has its paths back"
fi
wait "${readers[@]}"

# An exit code of 0: to curl, the answer is complete.
broken=0
for ((i = 1; i <= clients; i++)); do
  id=stream-$i
  read -r status code <"$run_dir/$id.end"
  got=$(grep -c '^id: ' "$run_dir/$id.events" 2>/dev/null)
  last=$(grep '^data: ' "$run_dir/$id.events" 2>/dev/null | tail -n 1)
  whole=cut
  [ "$code" != 0 ] || whole=complete
  say "$id: status $status, $got of $events events, the last one '$last', and the answer is $whole (curl: $code)"
  if [ "$status" = 200 ] && [ "$code" = 0 ] && [ "$got" -lt "$events" ]; then
    broken=$((broken + 1))
  fi
done
cat "$run_dir/runs" >>"$record"
grep -h "event=path_lost\|event=answered.*through=" "$run_dir/front-1.log" >>"$record"
say "$broken of $clients streams ended as complete before their last event"
[ "$broken" = 0 ] || exit 1
exit 0
