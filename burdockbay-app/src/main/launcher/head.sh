#!/bin/sh
# The launcher head of the single binary: the executable jar follows this script in the same file.
# exec replaces the shell, so no child process stays or is started.
is_25() { grep -q '^JAVA_VERSION="2[5-9]' "$1/release" 2>/dev/null; }
found=""
for home in "${JAVA_HOME:-}" /usr/lib/jvm/*25* /opt/*jdk*25*; do
  if [ -n "$home" ] && is_25 "$home"; then found="$home"; break; fi
done
if [ -z "$found" ]; then
  echo "burdockbay: JDK 25 not found; set JAVA_HOME to one" >&2
  exit 4
fi
exec "$found/bin/java" -XX:+UseSerialGC -Xshare:auto -Xss512k --sun-misc-unsafe-memory-access=allow \
  --enable-native-access=ALL-UNNAMED ${BURDOCKBAY_JAVA_OPTS:--Xmx96m -Xmn16m} -jar "$0" "$@"
