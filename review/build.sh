#!/bin/sh
# Builds the stand-ins and the cases. Needs the JDK only; run after the build of the deploy file.
set -e
cd "$(dirname "$0")"
mkdir -p build
javac -d build support/*.java
