#!/usr/bin/env bash
# Builds the stand-ins of all scripts. They need a JDK 17 and no library.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p stand-ins/target/classes
javac --release 17 -Xlint:all -d stand-ins/target/classes stand-ins/src/*.java
