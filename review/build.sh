#!/usr/bin/env bash
# Builds what the scripts start: the project's programs, by the deploy file's own line (its stand-ins "hosts" and
# "admin" are commands of bin/plumspindle), and the driver of the cases, a module of its own without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)"
cd review/driver
go build -o ../bin/driver .
