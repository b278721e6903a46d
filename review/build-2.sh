#!/usr/bin/env bash
# Builds the cases 6 to 10 with their stand-ins into target/. They are a module of their own that needs nothing but
# Go's own library, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -C review/kit-2 -o "$PWD/target/review-2" .
