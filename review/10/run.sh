#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root" || exit 2
exec timeout -k 5 118 java -Dsun.net.httpserver.nodelay=true -cp target/review-2 Case10 "$root" "$root/review/10" "${TROUBLE:-1}"
