#!/usr/bin/env bash
# Builds the stand-ins of the cases review/11 and later. Run it after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/standin3
