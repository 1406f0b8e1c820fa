#!/usr/bin/env bash
# The stand-ins in review/*.mjs are plain JavaScript and need no build; this checks that they load.
# No stand-in of the project is used.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/*.mjs review/[123]/case.mjs; do
  node --check "$file"
done
