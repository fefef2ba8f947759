#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
exec timeout -k 2 118 java -Xmx512m -Dsun.net.httpserver.nodelay=true \
  -Djdk.httpclient.allowRestrictedHeaders=host \
  -cp "target/review-3:$(echo target/lib/gson-*.jar)" review3.Case15 "$here/record.txt"
