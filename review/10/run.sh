#!/usr/bin/env bash
# All nodes are killed right after the confirmation of a deregistration.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2 ] && [ -x target/gooseberryflowd ] || exit 2
exec target/review-2 forgotten-leave review/10
