#!/bin/sh
# Plays the case of claim.txt. It exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
standins=../../target/review-2/standins2
if [ ! -x "$standins" ] || [ ! -x ../../target/anvilforkd ]; then
	echo "build first: the command of deploy/system.toml, and review/build-2.sh" >&2
	exit 2
fi
exec "$standins" -root ../.. -record record.txt away
