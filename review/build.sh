#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. They use the JSON library in the project's jar.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/classes
javac -nowarn -d review/target/classes -cp org.gooseberrypier.pgm/target/gooseberrypier.jar review/rig/src/rig/*.java
