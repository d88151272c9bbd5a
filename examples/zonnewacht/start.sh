#!/usr/bin/env bash
# Zonnewacht with stand-ins on loopback: four services in four data centres. Usage: start.sh [--once]
DIR=$(cd "$(dirname "$0")" && pwd)
DATA_CENTRES=(a b c d)
FIRST_PORT=${FIRST_PORT:-21000}
CALLER_KIND=break-cancellation
. "$DIR/../deployment.sh"

start_log
start_service alert 5 130 20 index
start_service index 5 160 10 forecast
start_service report 4 145 50 index,forecast
start_service forecast 4 20 10
finish "$@"
