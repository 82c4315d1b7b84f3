#!/usr/bin/env bash
# Runs a case: run-case.sh NAME FOLDER. The driver ends all processes that it started.
set -uo pipefail
folder="$(cd "$2" && pwd)"
cd "$(dirname "$0")/.."
if [ ! -f target/review/review/Cases.class ] || [ ! -f target/quetzalscale-node.jar ]; then
    echo "run the build of the deploy file and review/build.sh first"
    exit 2
fi
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
timeout -k 5 115 java -Xmx256m -Dsun.net.httpserver.nodelay=true -Dreview.folder="$work" \
    -cp target/review:target/quetzalscale-node.jar review.Cases "$1" "$folder"
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then cp "$work"/*.log "$KEEP_LOGS"; fi
[ "$status" -le 2 ] || status=2
exit "$status"
