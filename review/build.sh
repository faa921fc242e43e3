#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review/standin ./review/standin
