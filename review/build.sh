#!/bin/bash
# Builds the stand-ins and drivers of the cases into review/bin. It needs the Go tool chain only, no modules and no network.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for dir in [0-9]*/; do
	GOFLAGS=-mod=mod GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -o "bin/case${dir%/}" "./$dir"
done
