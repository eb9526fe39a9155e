#!/bin/bash
# Builds the stand-ins and drivers of the cases into review/bin. It needs the Go tool chain only, no modules and no network.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for dir in */main.go; do
	name=${dir%/main.go}
	GOFLAGS=-mod=mod GOWORK=off go build -o "bin/case$name" "./$name"
done
