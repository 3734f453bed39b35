#!/bin/sh
# Builds what the scripts of the second review start besides the project's programs: one program with all stand-ins, from
# the standard library alone.
set -e
cd "$(dirname "$0")/second"
mkdir -p bin
go build -o bin/second .
