#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-3, after the build
# of the deploy file: they use its libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
build() {
    local name=$1
    shift
    "${CXX:-g++}" -std=c++20 -O2 -DRATTAN_VERSION='"review"' \
        -DBOOST_LOG_DYN_LINK -Iinclude -Isrc -Iplatform/.. -Istandins \
        -isystem src/generated "$@" -o "$out/$name" \
        target/librattan_net.a target/librattan_decide.a \
        target/librattan_wire.a -lyaml-cpp -lxxhash -lcrypto -lz \
        -lboost_log -lboost_thread -lboost_filesystem -lthrift -lACE -lcurl \
        -lmicrohttpd -lgflags -lpthread
}
build standin_fleet standins/fleet_*.cpp &
build runner review/standin-3/runner_main.cpp &
build late_proxy review/standin-3/late_proxy_main.cpp &
build driver review/standin-3/driver_main.cpp standins/harness_http.cpp &
wait -n && wait -n && wait -n && wait -n
