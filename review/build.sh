#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin, with the packages of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
objects=()
pids=()
for source in review/standin/*.cpp standins/harness_http.cpp \
    src/net/event_loop.cpp src/net/http_server.cpp; do
    object=review/bin/$(basename "$source" .cpp).o
    g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers \
        -Iinclude -Isrc -Istandins -Ireview/standin -c "$source" -o "$object" &
    pids+=($!)
    objects+=("$object")
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
g++ -o review/bin/review_tool "${objects[@]}" -lACE -lmicrohttpd -lcurl \
    -lcrypto -lpthread
