#!/usr/bin/env bash
# Finds uses of the wall clock outside the files that docs/failures.md lists. Deadlines, windows and waits are spans of real
# time, which time.Now, Since and Until measure by the monotonic clock; a time that was converted to or from Unix time or text
# has lost it. Test files, stand-ins and the simulator are not checked. Arguments name folders to check instead.
set -euo pipefail
cd "$(dirname "$0")/.."
folders=("$@")
allowed='^(cmd/merlinarch/(accord|ledger)|internal/gateway/gateway|internal/registrar/(node|registrar|clock)|internal/accord/(follower|tasks|client)|internal/decide/usage/usage|internal/ledger/(ledger|record))\.go:'
if [ ${#folders[@]} -eq 0 ]; then
    folders=(cmd internal logic)
    skipped='^internal/(standin|rehearsal|testwait)/'
else
    skipped='^$' allowed='^$'
fi
# SetReadDeadline and SetDeadline with time.Unix(1, 0) mean "at once", whatever the clock says.
found=$(grep -rnE --include='*.go' '\.Unix(Milli|Micro|Nano)?\(\)|\btime\.(Unix|UnixMilli|UnixMicro|Parse|Date)\(|\.Round\(0\)|\.(UTC|Local)\(\)|unix\.CLOCK_REALTIME' "${folders[@]}" |
    grep -vE '_test\.go:|Set(Read)?Deadline\(time\.Unix\(1, 0\)\)' | grep -vE "$skipped" | grep -vE "$allowed" || true)
if [ -n "$found" ]; then
    echo "uses of the wall clock that docs/failures.md does not list:" >&2
    echo "$found" >&2
    exit 1
fi
