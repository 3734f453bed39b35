#!/usr/bin/env bash
# Checks the decision packages (logic, internal/decide/...): they do no I/O, start no goroutines, and get the time and
# randomness from their callers. Checks their imports, their calls of time and random functions, and that their doc comments
# begin "Package NAME decides". Arguments name other packages to check instead.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=("$@")
if [ ${#packages[@]} -eq 0 ]; then
    packages=(./logic/...)
    [ ! -d internal/decide ] || packages+=(./internal/decide/...)
fi
failed=0 checked=0
while read -r path dir name imports; do
    checked=$((checked + 1))
    for i in $imports; do
        case "$i" in
        os | os/* | net | net/* | syscall | io/fs | runtime | runtime/* | context | log | log/* | sync | sync/* | unsafe | \
            go.uber.org/zap* | golang.org/x/sys/*)
            echo "$path imports $i: decision packages do no I/O and start no goroutines" >&2
            failed=1
            ;;
        merlinarch/logic | merlinarch/internal/decide/*) ;;
        merlinarch/*)
            echo "$path imports $i: decision packages import only other decision packages of this module" >&2
            failed=1
            ;;
        esac
    done
    files=$(find "$dir" -maxdepth 1 -name '*.go' ! -name '*_test.go')
    if grep -nE '\btime\.(Now|Since|Until|Sleep|After|AfterFunc|Tick|NewTimer|NewTicker)\(|\bgo func|\brand\.(Int|IntN|Float64|Uint64|N|Perm|Shuffle)\(' $files >&2; then
        echo "$path: reads the clock, uses a global random source or starts a goroutine" >&2
        failed=1
    fi
    if ! grep -qE "^// Package $name decides" $files; then
        echo "$path: its doc comment has to begin with 'Package $name decides'" >&2
        failed=1
    fi
done < <(go list -f '{{.ImportPath}} {{.Dir}} {{.Name}} {{join .Imports " "}}' "${packages[@]}")
[ $checked -gt 0 ] || { echo "no decision package found" >&2; failed=1; }
exit $failed
