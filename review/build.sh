#!/bin/sh
# Builds the stand-ins of the cases. It needs no network and no packages but Go's own.
cd "$(dirname "$0")/harness" || exit 1
GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review/harness .
