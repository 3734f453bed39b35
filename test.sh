#!/usr/bin/env bash
# Formatting, vet, build and tests (the limits on the policy file are among the tests).
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd internal logic)
if [ -n "$unformatted" ]; then
    echo "gofmt wanted for: $unformatted" >&2
    exit 1
fi
go vet ./...
mkdir -p bin
go build -o bin/ ./cmd/...
go test -count=1 ./...
