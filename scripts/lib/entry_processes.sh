# Starts entry instances and their targets as processes. Sourced after
# processes.sh; the caller sets build_dir, jujubehead (the program),
# target_flags, instance_flags and failed=0, and starts the stand-in `rows`.

check() { # check NAME COMMAND...
  local name=$1
  shift
  if "$@"; then echo "held: $name"; else
    echo "FAILED: $name"
    failed=$((failed + 1))
  fi
}
now_ms() {
  local us=${EPOCHREALTIME//[.,]/}
  echo $((us / 1000))
}

# Targets. `ends` has a line for each process that ended: time, id, status.
write_rows() { # write_rows JSON-OF-PUTS JSON-OF-REMOVALS
  curl -sf -X POST "http://$(address_of rows)/rows-tx" -o /dev/null \
    -d "{\"put\":[$1],\"remove\":[$2]}"
}
row() { # row TABLE KEY JSON
  printf '{"table":"%s","part":"","key":"%s","value":"%s"}' "$1" "$2" "$(base64 -w0 <<<"$3")"
}
target_row() { # target_row KIND DATA_CENTRE PORT [SOFTWARE_VERSION]
  local models="" service=plain
  if [ "$1" = model ]; then
    service=models models='{"name":"m1","version":1}'
  fi
  printf '{"service":"%s","address":"127.0.0.1:%d","zone":"%s","slots":8,"state":"ready","models":[%s],"version":"%s","sequence":1}' \
    "$service" "$3" "$2" "$models" "${4:-}"
}
# run_target NAME KIND DATA_CENTRE PORT [REGISTERED_PORT]: and starts it again
# when it ends, with another software version if the caller sets software_count.
# NAME.pid has the process that runs; `brittle` are the flags of brittle targets.
run_target() {
  local run=0 id removal="" status version=""
  local flags=(--port "$4" "${target_flags[@]}")
  [ "$2" = plain ] || flags+=(--registered_model m1)
  trap 'kill -KILL $(jobs -p) 2>/dev/null' EXIT
  trap 'exit 0' TERM
  while :; do
    run=$((run + 1))
    id=$1-$run
    if [ "${software_count:-0}" -gt 0 ]; then
      version=v$(((run + ${#1} + ${1: -1}) % software_count + 1))
    fi
    "$build_dir/standin/jujubehead-standin" registered --id "$id" \
      --software_version "$version" $(cat "$run_dir/brittle" 2>/dev/null) \
      --ready_file "$run_dir/$id.ready" "${flags[@]}" &
    echo $! >"$run_dir/$1.pid"
    await 10 test -s "$run_dir/$id.ready"
    write_rows "$(row servers "$id" "$(target_row "$2" "$3" "${5:-$4}" "${named_version-$version}")")" "$removal"
    touch "$run_dir/$1.registered"
    status=0
    wait $! || status=$?
    echo "$(now_ms) $id $status" >>"$run_dir/ends"
    removal="{\"table\":\"servers\",\"part\":\"\",\"key\":\"$id\"}"
    sleep 1
  done
}
configure_routes() { # two routes at a.example, for the account with key k1
  write_rows "$(row op config "{\"version\":1,\"routes\":[$(route /chat/ streaming models),$(route /calls/ idempotent plain)],\"services\":[{\"name\":\"models\"},{\"name\":\"plain\"}],\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"k1\"],\"priority\":3}],\"limits\":{}}")" ""
}

# Instances. The senders have to know the addresses of all before they start.
declare -A caller_of ready_of metrics_of relay_of tunnel_of data_centre_of
seeds=""
reserve_instance() { # reserve_instance NAME DATA_CENTRE
  local name=$1
  data_centre_of[$name]=$2
  next_port; caller_of[$name]=127.0.0.1:$port
  next_port; ready_of[$name]=127.0.0.1:$port
  next_port; metrics_of[$name]=127.0.0.1:$port
  next_port; relay_of[$name]=127.0.0.1:$port
  next_port; tunnel_of[$name]=127.0.0.1:$port
  seeds=${seeds:+$seeds,}${relay_of[$name]}
}
set_command() { # set_command NAME STORE: sets `command`
  command=("$jujubehead" entry --instance_id "$1" --data_centre "${data_centre_of[$1]}"
    --callers "${caller_of[$1]}" --ready "${ready_of[$1]}" --metrics "${metrics_of[$1]}"
    --relay "${relay_of[$1]}" --relay_seeds "$seeds" --capacity 1
    --tunnel "${tunnel_of[$1]}"
    --table_service "$2" "${instance_flags[@]}")
}
start_instance() { # start_instance NAME RUN
  set_command "$1" "$(address_of rows)"
  start "$1-$2" "${command[@]}"
}

is_ready() { curl -sf -o /dev/null "http://${ready_of[$1]}/readyz"; }
metric_of() { # metric_of INSTANCE NAME
  curl -s "http://${metrics_of[$1]}/metrics" | sed -n "s/^$2\({.*}\)\{0,1\} \([0-9.e+]*\)$/\2/p" | head -n 1
}
shows() { [ "$(metric_of "$1" "$2")" = "$3" ]; } # shows INSTANCE METRIC VALUE

route() { # route PREFIX KIND SERVICE
  printf '{"name":"%s","host":"a.example","path_prefix":"%s","kind":"%s","service":"%s","timeout_ms":5000,"target_latency_ms":500,"priority":5,"max_attempts":2,"resumable":true}' \
    "$1" "$1" "$2" "$3"
}
