#!/usr/bin/env bash
# Builds the stand-in that the scripts of the review start: review/review_standin.
set -euo pipefail
cd "$(dirname "$0")"
${CXX:-g++} -O2 -std=c++20 -Wall -pthread -o review_standin review_standin.cpp
