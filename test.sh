#!/usr/bin/env bash
# Formatting, vet, what packages of decisions may import, build and tests with the race detector (the limits on the
# policy file are among the tests; fuzz targets run on their seeds).
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
go test -race -count=1 ./...
