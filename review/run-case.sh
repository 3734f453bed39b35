#!/usr/bin/env bash
# run-case.sh FOLDER DRIVER: runs a driver with a temporary folder and the run command of deploy/balancer.toml.
set -uo pipefail
folder=$1 driver=$2
review=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$review/.." && pwd)
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
if [ -z "$run" ] || [ ! -x "$root/bin/merlinarch" ] || [ ! -x "$review/bin/$driver" ]; then
    echo "build first: the build command of deploy/balancer.toml, then review/build.sh" >&2
    exit 2
fi
tmp=$(mktemp -d) || exit 2
driver_pid=
trap 'if [ -n "$driver_pid" ]; then kill "$driver_pid" 2>/dev/null; wait "$driver_pid" 2>/dev/null; fi; rm -rf "$tmp"; exit 2' INT TERM HUP
# The driver's children get a signal from the kernel when it dies, so none of them outlives it.
CASE_ROOT=$root CASE_RUN=$run CASE_TMP=$tmp CASE_RECORD=$folder/record.txt TROUBLE=${TROUBLE:-1} timeout -k 2 115 "$review/bin/$driver" &
driver_pid=$!
wait "$driver_pid"
code=$?
rm -rf "$tmp"
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
