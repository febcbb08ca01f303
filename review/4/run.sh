#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/harness ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/harness limits "$folder"
