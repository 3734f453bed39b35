#!/usr/bin/env bash
# Formatting, vet, what packages may import, build and tests with the race detector (the limits on the policy file are
# among the tests; fuzz targets run on their seeds; KNOWN-RED.txt: see deploy/run-tests.sh).
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd internal logic)
if [ -n "$unformatted" ]; then
    echo "gofmt wanted for: $unformatted" >&2
    exit 1
fi
go vet ./...
./deploy/check-decisions.sh
if ./deploy/check-decisions.sh ./internal/gateway 2>/dev/null; then
    echo "deploy/check-decisions.sh passes a package that does I/O" >&2
    exit 1
fi
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...
helpers=$(go list -f '{{range .Imports}}{{if eq . "testing"}}{{$.ImportPath}}{{end}}{{end}}' ./...)
if [ -n "$helpers" ]; then
    echo "imports testing outside test files: $helpers" >&2
    exit 1
fi
./deploy/run-tests.sh
