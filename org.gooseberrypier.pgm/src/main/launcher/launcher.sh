#!/bin/sh
exec java ${GOOSEBERRYPIER_JAVA_OPTS:-} -jar "$0" "$@"
