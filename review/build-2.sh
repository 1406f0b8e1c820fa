#!/bin/sh
# Builds what the scripts in review/4 to review/8 start, besides the build of the deploy file. The
# stand-ins in review/*-2.mjs are plain JavaScript without dependencies, so they are only checked.
cd "$(dirname "$0")" || exit 2
for file in *-2.mjs [4-8]/case.mjs; do
  node --check "$file" || exit 2
done
