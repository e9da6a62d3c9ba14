#!/bin/sh
# Plays the case "left-replica"; TROUBLE=0 leaves out the disruption. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fuchsiaflow ] && [ -x target/review/harness ] || exit 2
exec target/review/harness left-replica review/5
