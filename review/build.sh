#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into target/review. Needs the deploy file's build before it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -DASIO_STANDALONE -DASIO_NO_DEPRECATED -DASIO_DISABLE_STD_ALIGNED_ALLOC \
    -DSPDLOG_FMT_EXTERNAL -DSPDLOG_COMPILED_LIB -Isrc -Ireview/lab "$source" -o "target/review/case-$number" \
    target/libnet.a target/libbase.a -lspdlog -lfmt -lhttp_parser -lpthread
done
