#!/bin/sh
# Builds the cases 6 to 10 of the second review, and with them all stand-ins that they start, into review/bin. It needs the Go toolchain
# only: no module, no network. extra2 plays what was shown beside the cases.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for n in 6 7 8 9 10; do
	GOFLAGS=-mod=mod GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -o "bin/case$n" "./$n"
done
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -o bin/extra2 ./kit2/extra
