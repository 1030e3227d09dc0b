#!/usr/bin/env bash
# Compares the behaviour of the program with the results recorded in scripts/behaviour. This shows that a refactoring
# or a renaming has not changed it.
#
#   check-behaviour.sh sim      compares scenarios in virtual time by a hash of the times and receivers of all segments
#                               that arrived; needs only Go
#   check-behaviour.sh bench    compares decisions on the users' simulator by its trace hash; needs the users' kit
#                               beside the repository
#
# With --record the script replaces the recorded results instead of comparing with them. Use this only when the
# behaviour changes on purpose. The results hold for amd64; other processors may round floating-point numbers
# differently.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=${1:?"usage: check-behaviour.sh sim|bench [--record]"}
record=${2:-}
expected=scripts/behaviour/$mode.txt
site=../given/kit/next/1/pamoja-nairobi-later.toml
actual=$(mktemp)
trap 'rm -f "$actual"' EXIT

sim() {
  while read -r seeds _; do
    hash=$(bin/plumspindle sim run --seeds "$seeds" | sed -n 's/.*all that happened: \([0-9a-f]*\).*/\1/p')
    echo "$seeds ${hash:-none}"
  done < <(printf '%s\n' 1-100 101-150 301-330)
}

# Prints one run as a line: seed, size, trace hash, gain, requests and events. These are enough to tell two runs apart;
# the simulator's other figures are left out.
bench_run() {
  local seed=$1 size=$2
  shift 2
  ../given/kit/bin/lbsim run "$site" --seed "$seed" "$@" --json --no-build \
    --why "Behaviour compared with the frozen build" 2>/dev/null |
    python3 -c 'import json, sys
text = sys.stdin.read()
run = json.loads(text[text.index("{"):])
print(sys.argv[1], sys.argv[2], run["trace_hash"], run["g"], run["requests"], run["events"])' "$seed" "$size"
}

bench() {
  for seed in $(seq 501 512); do bench_run "$seed" small --small-twin; done
  for seed in 601 602; do bench_run "$seed" full; done
}

build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)
sh -c "$build"
case $mode in
sim | bench) "$mode" >"$actual" ;;
*)
  echo "check-behaviour.sh: unknown mode $mode" >&2
  exit 2
  ;;
esac
if [ "$record" = --record ]; then
  mkdir -p scripts/behaviour
  cp "$actual" "$expected"
  exit
fi
if ! diff -u "$expected" "$actual"; then
  echo "check-behaviour.sh: $mode differs from the frozen behaviour" >&2
  exit 1
fi
echo "$mode: as frozen"
