#!/usr/bin/env bash
# The stand-ins are plain modules that need nothing but Node.js; this checks that each of them can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/case.mjs; do node --check "$file"; done
