#!/usr/bin/env bash
# Checks the formatting, go vet, staticcheck (settings: staticcheck.conf), the imports of packages and the uses of the wall
# clock, then builds the programs and runs all tests with the race detector. The tests also check the limits on the policy
# file, and run the fuzz targets on their seed inputs. deploy/run-tests.sh describes KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd internal logic)
if [ -n "$unformatted" ]; then
    echo "not formatted by gofmt: $unformatted" >&2
    exit 1
fi
go vet ./...
go tool -modfile=tools/lint.mod staticcheck ./...
./deploy/check-decisions.sh
if ./deploy/check-decisions.sh ./internal/gateway 2>/dev/null; then
    echo "deploy/check-decisions.sh accepts a package that does I/O" >&2
    exit 1
fi
./deploy/check-clocks.sh
if ./deploy/check-clocks.sh ./internal/ledger 2>/dev/null; then
    echo "deploy/check-clocks.sh finds no use of the wall clock where there is one" >&2
    exit 1
fi
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...
importers=$(go list -f '{{range .Imports}}{{if eq . "testing"}}{{$.ImportPath}}{{end}}{{end}}' ./...)
if [ -n "$importers" ]; then
    echo "imports testing outside test files: $importers" >&2
    exit 1
fi
./deploy/run-tests.sh
