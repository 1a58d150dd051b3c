#!/bin/sh
# Plays the case against target/gooseberryflowd and writes record.txt beside this file.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/gooseberryflowd ] && [ -x target/review-harness ] || exit 2
exec target/review-harness quota-after-lowering review/5/record.txt
