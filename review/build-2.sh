#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin2
