#!/bin/sh
# Builds the stand-ins of the second review's cases (review/6 to review/10) to target/. It needs
# the standard library only, and no network. The deploy file's build makes the gateway itself.
set -eu
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review2 .
