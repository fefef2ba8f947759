#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases 6 to 10. Needs a JDK and no network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
rm -rf "$root/target/review-2"
mkdir -p "$root/target/review-2"
javac --release 17 -nowarn -d "$root/target/review-2" "$root"/review/standins-2/*.java
