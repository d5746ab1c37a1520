#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of the deploy file and review/build-2.sh.
here=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$here/../.." && pwd)
cd "$repository" || exit 2
jar=org.gooseberrypier.pgm/target/gooseberrypier.jar
[ -f "$jar" ] && [ -d review/rig-2/target ] || { echo "build first"; exit 2; }
timeout -k 2 115 java -Xmx512m -Dsun.net.httpserver.nodelay=true -Drepository="$repository" \
    -Drecord="$here/record.txt" -cp "review/rig-2/target:$jar" rig.RebootSmaller
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
