#!/bin/sh
# Builds the stand-ins and checks of the scripts under review/ into target/review.
set -eu
cd "$(dirname "$0")/.."
. tools/java-home
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/src/*.java
