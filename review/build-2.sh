#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with the libraries of the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 -cp 'target/platform/lib/*' review/support-2/*.java
