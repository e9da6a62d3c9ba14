#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are a module of their own, so that ./... does not reach them.
set -euo pipefail
cd "$(dirname "$0")/stands"
go build -o ../../target/stands .
