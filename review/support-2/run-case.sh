#!/bin/sh
# Runs the class of a case: run-case.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/platform/fescueloom-platform.jar ] || [ ! -f target/review-2/Bed.class ]; then
    echo "build with the build line of deploy/system.toml, then with review/build-2.sh" >&2
    exit 2
fi
exec java -Xmx1g -Dsun.net.http.allowRestrictedHeaders=true -Dsun.net.http.retryPost=false \
    -Dsun.net.httpserver.nodelay=true -cp 'target/review-2:target/platform/lib/*' \
    "$1" "$2/record.txt"
