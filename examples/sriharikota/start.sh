#!/usr/bin/env bash
# Sriharikota with stand-ins on loopback: four services in three data centres. Usage: start.sh [--once]
DIR=$(cd "$(dirname "$0")" && pwd)
DATA_CENTRES=(a b c)
FIRST_PORT=${FIRST_PORT:-22000}
CALLER_KIND=booking
. "$DIR/../deployment.sh"

start_log
start_service calendar 5 340 10 booking
start_service booking 4 260 20 gallery
start_service footage 3 200 50 gallery
start_service gallery 4 50 10
finish "$@"
