#!/bin/sh
# Builds the stand-ins that the scripts start, into review/bin/. They use the standard
# library only.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
cd standin
GOWORK=off go build -buildvcs=false -o ../bin/ .
