# Sourced by the run.sh of a case, which sets `here` (its folder) and `program`
# (the name of the case's program). Exit status: 1 the rule was broken, 0 it
# held, 2 the case could not run.
root=$(cd "$here/../.." && pwd)
for needed in "$root/target/bin/jujubehead" "$root/target/review-2/$program"; do
  if [ ! -x "$needed" ]; then
    echo "$needed is missing: run the build of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
  fi
done
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
export REVIEW_ROOT=$root
timeout -k 2 118 "$root/target/review-2/$program" "$here" "$logs"
status=$?
[ "$status" -le 1 ] || status=2
if [ -n "${KEEP_LOGS:-}" ]; then
  mkdir -p "$KEEP_LOGS" && cp "$logs"/* "$KEEP_LOGS"
fi
tail -n 2 "$here/record.txt"
exit "$status"
