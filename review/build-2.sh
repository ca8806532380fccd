#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. Run it after the build command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-2/standin2 ./review/standin2
