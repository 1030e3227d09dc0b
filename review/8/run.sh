#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/plumspindle ] || [ ! -x bin/driver-2 ]; then
	echo "build first: the build of deploy/balancer.toml, then review/build-2.sh"
	exit 2
fi
exec bin/driver-2 -case nested -root . -record review/8/record.txt
