#!/bin/sh
# Builds the stand-ins and the cases of this review into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/standin-2/*.java
