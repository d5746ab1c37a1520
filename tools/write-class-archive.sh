#!/usr/bin/env bash
# Writes an archive of the classes that an entry VM loads, next to the program. With it a VM starts with half of the processor
# time; without it the VM starts as well. So a failure here is a warning and never fails a build.
# Usage: tools/write-class-archive.sh, after mvn package.
set -uo pipefail
cd "$(dirname "$0")/.."
program=org.gooseberrypier.pgm/target/gooseberrypier.jar
archive=org.gooseberrypier.pgm/target/gooseberrypier.jsa
log=org.gooseberrypier.pgm/target/class-archive.log
timeout_s=60

warn() {
  echo "warning: $1 (see $log); entry VMs start without a class archive" >&2
  rm -f "$archive" "$archive.new"
  exit 0
}

rm -f "$archive" "$archive.new"
timeout "$timeout_s" java -XX:+UseSerialGC -Xlog:disable -XX:ArchiveClassesAtExit="$archive.new" \
  -Dgooseberrypier.log.stdout=true -jar "$program" platform rehearse --settings examples/platform.toml > "$log" 2>&1
status=$?
# The rehearsal loads the classes also when some of its jobs fail, which is exit code 1.
[ "$status" -le 1 ] || warn "the rehearsal ended with exit code $status"
[ -s "$archive.new" ] || warn "no archive was written, exit code $status"
# A JVM crashes on an archive that was cut off, so the archive is used once before it gets its name.
timeout "$timeout_s" java -XX:+UseSerialGC -XX:SharedArchiveFile="$archive.new" -jar "$program" --help >> "$log" 2>&1 \
  || warn "the program does not start with the archive, exit code $?"
mv -f "$archive.new" "$archive"
