#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, in target/review-3. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -I. -Iinclude -Isrc -Ifakes -Isoak -Ireview/stand-3
    -DBOOST_ASIO_NO_DEPRECATED -DBOOST_BEAST_USE_STD_STRING_VIEW)
libraries=(target/libcelerystile_platform.a target/libcelerystile_fleet.a target/libcelerystile_peer.a
    target/libcelerystile_store.a target/libcelerystile_core.a target/libcelerystile_base.a target/libeasyloggingpp.a
    -lcapnp -lkj -lboost_json -lboost_system -lxxhash -lsodium)
for source in review/stand-3/*.cc fakes/metadata_store.cpp soak/wire.cpp; do
    g++ "${flags[@]}" -c "$source" -o "$out/$(basename "${source%.*}").o" 2>"$out/$(basename "$source").log" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job" || { cat "$out"/*.log >&2; exit 1; }
done
for program in late_heartbeat port_reuse; do
    g++ -pthread "$out/$program.o" "$out/fleet.o" "$out/metadata_store.o" "$out/wire.o" \
        "${libraries[@]}" -o "$out/$program"
done
