#!/usr/bin/env bash
# Builds the scripts of cases 6 to 10 with the stand-ins that they start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
banner='import { createRequire } from "node:module"; const require = createRequire(import.meta.url);'
for case_file in review/{6,7,8,9,10}/case.ts; do
    [ -e "$case_file" ] || continue
    number="$(basename "$(dirname "$case_file")")"
    node_modules/.bin/esbuild "$case_file" --bundle --platform=node --target=node20 --format=esm \
        --banner:js="$banner" --outfile="target/review-2/$number.mjs" --log-level=warning
done
