#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder=review/3
if [ ! -f platform/target/banyanstile-platform-0.1.0-SNAPSHOT.jar ] || [ ! -d review/stand-ins/target/classes ]; then
	echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
	exit 2
fi
timeout -k 5 118 java -Xmx256m -cp review/stand-ins/target/classes Endless "$folder"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
