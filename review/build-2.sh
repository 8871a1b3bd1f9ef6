#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start: target/review-2.
# Run it after deploy/build: the classes use the JSON library of the program's own jar.
set -eu
cd "$(dirname "$0")/.."
. tools/java-home
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -nowarn -d target/review-2 -cp target/burdockbay-platform.jar review/src-2/*.java
