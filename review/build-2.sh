#!/bin/sh
# Builds the stand-ins and the cases of this review with the JDK alone, after the build of the deploy file. They use the
# JSON library that the project's own jar holds.
set -e
cd "$(dirname "$0")/rig-2"
rm -rf target
mkdir -p target
javac -Xlint:-options -d target -cp ../../org.gooseberrypier.pgm/target/gooseberrypier.jar src/rig/*.java
