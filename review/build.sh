#!/usr/bin/env bash
# Builds the stand-ins of all scripts. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../../target/review
GOWORK=off GOFLAGS= go build -o ../../target/review/standins .
