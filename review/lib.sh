# What the scripts of the review share. Sourced by run.sh of a case, which sets
# `here` (its folder). Starts processes on loopback, ends only these.

root=$(cd "$here/../.." && pwd)
program=$root/target/bin/jujubehead
tool=$root/review/review_standin
run_dir=$(mktemp -d "${TMPDIR:-/tmp}/jujubehead-review.XXXXXX")
record=$here/record.txt
: >"$record"
declare -A pid_of # NAME: process id
finish() {
  exec 2>/dev/null # Not the shell's lines about the processes that it ends.
  local name
  for name in "${!pid_of[@]}"; do
    case "$name" in
      server-*) kill -TERM "${pid_of[$name]}" 2>/dev/null ;;
      *) kill -KILL "${pid_of[$name]}" 2>/dev/null ;;
    esac
  done
  wait
  [ -n "${KEEP:-}" ] && echo "logs: $run_dir" || rm -rf "$run_dir"
}
trap finish EXIT
trap 'exit 2' INT TERM

now_ms() { local us=${EPOCHREALTIME//[.,]/}; echo $((us / 1000)); }
say() { echo "$(now_ms) $*" | tee -a "$record"; }
cannot_run() { say "the case could not run: $*"; exit 2; }
for file in "$program" "$tool"; do
  [ -x "$file" ] || cannot_run "$file is missing"
done

start() { # start NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$run_dir/$name.log" 2>&1 &
  pid_of[$name]=$!
}
lose() { # lose NAME: SIGKILL, and it does not come back
  kill -KILL "${pid_of[$1]}"
  { wait "${pid_of[$1]}"; } 2>/dev/null
  unset "pid_of[$1]"
}
await() { # await SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.05
  done
}

# A port that is free at all addresses of the instances.
free_port() {
  local port
  while :; do
    port=$((20000 + RANDOM % 12000))
    (: <"/dev/tcp/127.0.0.1/$port") 2>/dev/null || break
  done
  echo "$port"
}

put_row() { # put_row TABLE KEY JSON: as the operator; the answer is the acknowledgement
  curl -sf -m 5 -o /dev/null -X POST "http://127.0.0.1:$store_port/rows-tx" \
    -d "{\"put\":[{\"table\":\"$1\",\"part\":\"\",\"key\":\"$2\",\"value\":\"$(base64 -w0 <<<"$3")\"}]}"
}

# Instances: machine N has the address 127.0.1.N, the ports are the same on all,
# and the command line is that of deploy/system.toml.
set_ports() {
  front=$(free_port) ready=$(free_port) control=$(free_port)
  metrics=$(free_port) internal=$(free_port)
}
start_instance() { # start_instance N ZONE
  local ip=127.0.1.$1
  start "front-$1" "$program" entry --instance_id="front-$2-$1" --data_centre="$2" \
    --callers="$ip:$front" --ready="$ip:$ready" --metrics="$ip:$metrics" \
    --table_service="127.0.0.1:${store_ports[$1]:-$store_port}" --relay="$ip:$control" \
    --relay_seeds="$seeds" --tunnel="$ip:$internal" --regions="$regions" \
    --capacity=0.25 --retry_share=0.2 --retry_fixed="$retry_fixed" --retry_window=10 \
    --stop_grace=8 --lease_time=3000 --weights_time="$version_ms" \
    --weights_time_in_all="$version_all_ms"
}
is_ready() { # is_ready N
  [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://127.0.1.$1:$ready/readyz")" = 200 ]
}
is_alive() { kill -0 "${pid_of[$1]}" 2>/dev/null; }
send() { # send N KEY ID PATH [BODY]: prints the status, 000 for none
  curl -s -m 4 -o /dev/null -w '%{http_code}' -X POST -H 'Host: a.example' \
    -H "X-Attempt-Id: $3" -H 'X-Deadline-Ms: 3000' -H "Authorization: Token $2" \
    -H 'Content-Type: text/plain' --data-binary "${5:-plain}" \
    "http://127.0.1.$1:$front$4"
}

start_store() { # start_store LAPSE_MS [VIEWS]: a port for each machine with a view
  start store "$tool" store "$run_dir/store.ready" "$1" "${2:-0}"
  await 5 test -s "$run_dir/store.ready" || cannot_run "no store"
  store_ports=($(cat "$run_dir/store.ready"))
  store_port=${store_ports[0]}
}
# A server that is started again, under a new id, some seconds after it ended.
keep_server() { # keep_server NAME SERVICE ZONE WORK_MS BEAT_MS POISON BACK_S [EVENTS VIEWS]
  local run=0 child=
  trap 'kill -KILL $child 2>/dev/null; exit 0' TERM EXIT
  while :; do
    run=$((run + 1))
    "$tool" server "$store_port" "$2" "$3" "i-$1-$run" "$4" "$5" "$run_dir" "$6" \
      "${8:-0}" "${9:-0}" &
    child=$!
    wait "$child"
    sleep "$7"
  done
}
start_server() { # as keep_server
  keep_server "$@" >>"$run_dir/server-$1.log" 2>&1 &
  pid_of[server-$1]=$!
}
