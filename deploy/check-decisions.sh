#!/usr/bin/env bash
# Packages of decisions (logic, internal/decide/...) do no I/O and know no clock but what they are handed: checks
# their imports, their calls of time, and how their doc comments begin. Arguments are other packages to check instead.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=("$@")
if [ ${#packages[@]} -eq 0 ]; then
    packages=(./logic/...)
    [ ! -d internal/decide ] || packages+=(./internal/decide/...)
fi
bad=0 seen=0
while read -r path dir name imports; do
    seen=$((seen + 1))
    for i in $imports; do
        case "$i" in
        os | os/* | net | net/* | syscall | io/fs | runtime | runtime/* | context | log | log/* | sync | sync/* | unsafe | \
            go.uber.org/zap* | golang.org/x/sys/*)
            echo "$path imports $i: packages of decisions do no I/O and start nothing" >&2
            bad=1
            ;;
        merlinarch/logic | merlinarch/internal/decide/*) ;;
        merlinarch/*)
            echo "$path imports $i: packages of decisions know none of the packages round them" >&2
            bad=1
            ;;
        esac
    done
    files=$(find "$dir" -maxdepth 1 -name '*.go' ! -name '*_test.go')
    if grep -nE '\btime\.(Now|Since|Until|Sleep|After|AfterFunc|Tick|NewTimer|NewTicker)\(|\bgo func|\brand\.(Int|IntN|Float64|Uint64|N|Perm|Shuffle)\(' $files >&2; then
        echo "$path: takes the time, randomness or a goroutine by itself" >&2
        bad=1
    fi
    if ! grep -qE "^// Package $name decides" $files; then
        echo "$path: its doc comment has to begin with 'Package $name decides'" >&2
        bad=1
    fi
done < <(go list -f '{{.ImportPath}} {{.Dir}} {{.Name}} {{join .Imports " "}}' "${packages[@]}")
[ $seen -gt 0 ] || { echo "no package of decisions found" >&2; bad=1; }
exit $bad
