#!/bin/sh
# Exits with 1 if rule LOST was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")"
# TROUBLE=0 does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec java -Djdk.httpclient.allowRestrictedHeaders=host -cp ../build Lasting .
