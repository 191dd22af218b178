#!/bin/sh
# Builds the stand-ins and the cases of the scripts in review/. Needs only a JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/stand-ins-2/src/*.java
