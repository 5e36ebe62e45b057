#!/bin/sh
# Builds the stand-ins of the cases of the second review. Needs g++ alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -o target/review-2/cases review/stand-2/rig.cc review/stand-2/cases.cc
