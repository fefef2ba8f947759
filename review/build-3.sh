#!/bin/sh
# Builds the stand-ins of the cases 11 to 15; runs after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -nowarn -d target/review-3 -cp "$(echo target/lib/gson-*.jar)" review/standins-3/*.java
