#!/usr/bin/env bash
# Compiles the stand-ins of the third review, with the project's own ones that they use, against
# the libraries in the jar that the build of the deploy file has made. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp target/quetzalscale-node.jar \
    standin/src/main/java/org/quetzalscale/standin/soak/*.java review/standin-3/*.java
