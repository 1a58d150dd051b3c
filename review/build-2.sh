#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start besides the daemon: the driver with
# its stand-ins of the store, the workers and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/harness2
