#!/bin/sh
# Builds the stand-ins of the review's cases into target/, without a network.
set -e
cd "$(dirname "$0")/.."
(cd review/standins && GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standins .)
