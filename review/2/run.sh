#!/bin/sh
# Exits with 1 if rule TWICE was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")"
exec java -Djdk.httpclient.allowRestrictedHeaders=host -cp ../build Reborn . 700 40
