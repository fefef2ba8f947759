#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
timeout -k 2 116 java -Xmx512m -Dsun.net.httpserver.nodelay=true \
  -Djdk.httpclient.allowRestrictedHeaders=host \
  -cp "target/review-3:$(echo target/lib/gson-*.jar)" review3.Case13 "$here/record.txt"
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
