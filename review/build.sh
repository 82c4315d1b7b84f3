#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripts, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review -cp target/quetzalscale-node.jar review/standin/*.java
