#!/bin/sh
# Builds the stand-ins of the cases 9 and 10 into target/review-3. Needs a JDK 25 and no network.
set -eu
cd "$(dirname "$0")/.."
java="$(sed -n 's/^run = "\([^ ]*\) .*/\1/p' deploy/system.toml | head -n 1)"
jdk="${java%/bin/java}"
if [ ! -x "$jdk/bin/javac" ]; then
  jdk="${JAVA_HOME:-$(dirname "$(dirname "$(command -v javac)")")}"
fi
mkdir -p target/review-3
"$jdk/bin/javac" -d target/review-3 review/src-3/review3/*.java
echo "$jdk/bin/java" > target/review-3/java
