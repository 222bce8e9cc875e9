#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, in review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
${CXX:-g++} -O2 -std=c++20 -Wall -pthread -o build/review_standin standin/review_standin.cpp
