#!/bin/bash
# Runs a case of the rig: review/run.sh CASE FOLDER. Ends all processes that it started.
cd "$(dirname "$0")/.." || exit 2
temp=$(mktemp -d) || exit 2
pid=
finish() {
    [ -n "$pid" ] && kill "$pid" 2>/dev/null
    [ -f "$temp/pids" ] && while read -r instance; do
        # An id may have been reused since the instance ended.
        [ "$(readlink "/proc/$instance/exe")" = "$PWD/target/release/yuccaridge-instance" ] && kill -9 "$instance" 2>/dev/null
    done <"$temp/pids"
    [ -n "${KEEP_LOGS:-}" ] && cp "$temp"/*.log "$KEEP_LOGS"
    rm -rf "$temp"
}
trap finish EXIT
trap 'exit 2' INT TERM
if [ ! -x target/review/rig ] || [ ! -x target/release/yuccaridge-instance ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
timeout 118 target/review/rig "$1" "$2" "$temp" &
pid=$!
wait "$pid"
code=$?
pid=
[ "$code" -le 1 ] && exit "$code"
exit 2
