#!/bin/sh
# Builds every stand-in that a script of the review starts. The daemon itself is built by
# the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-harness ./review/harness
