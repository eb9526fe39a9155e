#!/bin/sh
# Builds the stand-ins of the second review (review/kit2) to bin/review2. It needs the Go toolchain only: no module, no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
cd review/kit2
CGO_ENABLED=0 go build -o ../../bin/review2 .
