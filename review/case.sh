#!/usr/bin/env bash
# Runs a case of the stand-ins: case.sh NAME RECORD. Needs review/build.sh.
set -u
cd "$(dirname "$0")/.."
exec java -Xmx512m -Djdk.httpclient.allowRestrictedHeaders=host \
  -cp review/out:target/lib/gson-2.15.0.jar review.Main "$1" "$2"
