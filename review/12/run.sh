#!/usr/bin/env bash
# Runs the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/fuchsiaflow target/stands; do
  if [ ! -x "$program" ]; then
    echo "not run: $program is missing; build it with the line of deploy/system.toml and review/build-3.sh"
    exit 2
  fi
done
exec target/stands seeds target/fuchsiaflow review/12/record.txt
