#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the program itself,
# which the build of deploy/system.toml makes: one program for each case, with
# the stand-ins of clients, servers, stores and the platform in it. Everything
# goes to target/review-2. Needs g++ and nlohmann-json3-dev, as the program does.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
for source in [4-8]/*.cpp; do
  [ -e "$source" ] || continue
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -I standin-2 "$source" \
    -o "$out/$(basename "$source" .cpp)" &
done
wait
for source in [4-8]/*.cpp; do
  [ ! -e "$source" ] || test -x "$out/$(basename "$source" .cpp)"
done
