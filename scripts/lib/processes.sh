# Starts and ends processes for the demo and the benches. Sourced; the caller
# sets run_dir, a directory for logs and ready files. Only what was started
# here, by process id, is ever ended.

started_pids=()
started_names=()

# start NAME COMMAND...: runs it in the background, its output in NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$run_dir/$name.log" 2>&1 &
  started_pids+=($!)
  started_names+=("$name")
}

# pid_of NAME
pid_of() {
  local i
  for i in "${!started_names[@]}"; do
    [ "${started_names[i]}" != "$1" ] || echo "${started_pids[i]}"
  done
}

# await SECONDS COMMAND...: repeats the command until it succeeds.
await() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.05
  done
}

# await_ready NAME: waits for its ready file, shows its log if none comes.
await_ready() {
  await 20 test -s "$run_dir/$1.ready" && return 0
  echo "$1 did not start; its log:" >&2
  tail -n 20 "$run_dir/$1.log" >&2
  return 1
}

# stand_in NAME KIND FLAGS...: starts a stand-in.
stand_in() {
  local name=$1 kind=$2
  shift 2
  start "$name" "$build_dir/standin/jujubehead-standin" "$kind" \
    --ready_file "$run_dir/$name.ready" "$@"
}

# address_of NAME: ip:port of a stand-in, once it is ready.
address_of() { cat "$run_dir/$1.ready"; }

# instance NAME DATA_CENTRE FLAGS...: starts one instance of the binary.
instance() {
  local name=$1 data_centre=$2
  shift 2
  start "$name" "$build_dir/bin/jujubehead" serve \
    --instance_id "$name" --data_centre "$data_centre" \
    --members "$(address_of members)" \
    --table_service "$(address_of table)" \
    --object_store "$(address_of objects)" \
    --peer_secret "$peer_secret" \
    --ready_file "$run_dir/$name.ready" "$@"
}

# ready_field NAME FIELD: a text field of an instance's ready file.
ready_field() {
  sed -n "s/.*\"$2\" *: *\"\([^\"]*\)\".*/\1/p" "$run_dir/$1.ready"
}
url_of() { ready_field "$1" url; }
peer_of() { ready_field "$1" peer; }
authority_of() { local url; url=$(url_of "$1"); echo "${url#http://}"; }

# register ID JSON-FIELDS: puts a member into the membership list.
register() {
  curl -sf -X PUT "http://$(address_of members)/admin/members/$1" \
    -d "{$2,\"state\":\"live\"}" >/dev/null
}
register_instance() { # register_instance NAME DATA_CENTRE
  register "$1" "\"kind\":\"instance\",\"address\":\"$(authority_of "$1")\",\"peer_address\":\"$(peer_of "$1")\",\"data_centre\":\"$2\""
}
register_target() { # register_target NAME DATA_CENTRE MODEL CHECKS_FENCING
  register "$1" "\"kind\":\"target\",\"address\":\"$(address_of "$1")\",\"data_centre\":\"$2\",\"model\":\"$3\",\"checks_fencing\":$4"
}
register_store() { # register_store NAME DATA_CENTRE
  register "$1" "\"kind\":\"store\",\"address\":\"$(address_of "$1")\",\"data_centre\":\"$2\""
}
register_service() { # register_service NAME DATA_CENTRE SERVICE
  register "$1" "\"kind\":\"service\",\"address\":\"$(address_of "$1")\",\"data_centre\":\"$2\",\"service\":\"$3\",\"checks_fencing\":false"
}

# key_hash SECRET SALT: the key_hash cell of a table.
key_hash() {
  local hash
  hash=$(openssl kdf -binary -keylen 16 -kdfopt digest:SHA256 \
    -kdfopt "pass:$1" -kdfopt "salt:$2" -kdfopt iter:100 PBKDF2 |
    basenc --base64url | tr -d '=\n')
  echo "h1.$2.$hash"
}

# stop_all: ends what was started, the last first; kills what stays.
stop_all() {
  local i pid end
  for ((i = ${#started_pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${started_pids[i]}" 2>/dev/null
  done
  end=$((SECONDS + 15))
  for pid in ${started_pids[@]+"${started_pids[@]}"}; do
    while kill -0 "$pid" 2>/dev/null && [ "$SECONDS" -lt "$end" ]; do
      sleep 0.05
    done
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  started_pids=()
  started_names=()
}

port=$((20000 + RANDOM % 9000))
# A port is claimed before its process listens: scripts that run side by side
# would else choose the same one. A claim is a link to the script's process id.
port_claims=/tmp/jujubehead-ports
claim_port() ( # claim_port PORT: for this script, until it ends
  exec 9>"$port_claims/lock"
  flock 9
  owner=$(readlink "$port_claims/$1") && kill -0 "$owner" 2>/dev/null && exit 1
  ln -sfn "$$" "$port_claims/$1"
)
next_port() { # sets `port` to one of loopback on which nobody listens
  mkdir -p "$port_claims"
  while port=$((port + 1)); do
    if claim_port "$port" && ! (: <"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      return 0
    fi
  done
}
