#!/bin/sh
# Runs the case whose folder is given: starts its program, which starts the gateway by the deploy file's command, and
# ends all that it started, also when it is interrupted.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.." || exit 2
program=review/bin/case-$(basename "$folder")
[ -x "$program" ] || { echo "not built: run review/build.sh" >&2; exit 2; }
RUN=$(sed -n 's/^run = "\(.*\)".*/\1/p' deploy/balancer.toml)
[ -n "$RUN" ] || { echo "the deploy file names no run command" >&2; exit 2; }
WORK=$(mktemp -d) || exit 2
export RUN WORK
# Ends the gateways that are still running, and removes the temporary folder.
clean() {
    while read -r started; do kill -9 "$started" 2>/dev/null; done <"$WORK/pids"
    rm -rf "$WORK"
}
: >"$WORK/pids"
"$program" &
pid=$!
trap 'kill -9 "$pid" 2>/dev/null; clean; exit 2' INT TERM HUP
wait "$pid"
code=$?
cp "$WORK"/*.log "$folder"/ 2>/dev/null
clean
[ "$code" -le 2 ] || code=2
exit "$code"
