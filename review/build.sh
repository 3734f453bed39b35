#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's cases into review/bin. It needs no network: the module has no
# dependencies. The project's own programs come from the build of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOPROXY=off go build -o bin/ ./cmd/...
