#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. They need nothing but Go's own library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -C review/kit-2 -o "$PWD/target/review-2" .
