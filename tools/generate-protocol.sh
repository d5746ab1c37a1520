#!/usr/bin/env bash
# Generates the committed sources of org.gooseberrypier.protocol from its .proto files.
# Runs on Linux, on x86-64 and arm64; the build itself needs no generator.
set -euo pipefail
cd "$(dirname "$0")/.."
module=org.gooseberrypier.protocol
version() { sed -n "s:.*<$1>\(.*\)</$1>.*:\1:p" pom.xml | head -1; }
tools="$module/target/protoc"
case "$(uname -m)" in
  x86_64) platform=linux-x86_64 ;;
  aarch64) platform=linux-aarch_64 ;;
  *) echo "no generator for $(uname -m)" >&2; exit 2 ;;
esac
mkdir -p "$tools"
fetch() {
  mvn -q dependency:copy -Dartifact="$1" -DoutputDirectory="$PWD/$tools" -Dmdep.stripVersion=true -Dmdep.overWriteIfNewer=true -N
}
fetch "com.google.protobuf:protoc:$(version protobuf.version):exe:$platform"
fetch "io.grpc:protoc-gen-grpc-java:$(version grpc.version):exe:$platform"
chmod +x "$tools"/*.exe
out="$module/src/main/java"
rm -rf "$out/org/gooseberrypier/protocol"
"$tools/protoc-$platform.exe" --plugin=protoc-gen-grpc-java="$tools/protoc-gen-grpc-java-$platform.exe" \
  --proto_path="$module/src/main/proto" --java_out="$out" --grpc-java_out="@generated=omit:$out" "$module"/src/main/proto/*.proto
