#!/usr/bin/env bash
# Builds the stand-ins of the review into review/out. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/out
javac --release 17 -d review/out -cp target/lib/gson-2.15.0.jar review/standins/review/*.java
