#!/bin/sh
# Builds the stand-ins of the second review's cases as bin/driver-2. It needs no network and no dependency.
set -e
cd "$(dirname "$0")/driver-2"
mkdir -p ../../bin
GOFLAGS=-mod=mod GOWORK=off go build -o ../../bin/driver-2 .
