#!/usr/bin/env bash
# Clients use the ports of flows again that they gave up with a reset more than maxFlowS before. 90 s.
# TROUBLE=0 leaves the disruption out.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/port_reuse
[ -x "$program" ] || { echo "run review/build-3.sh first" >&2; exit 2; }
TROUBLE="${TROUBLE:-1}" "$program" review/11/record.txt
