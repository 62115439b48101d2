#!/usr/bin/env bash
# The stand-ins are Python scripts (review/lib, platform/standin): there is nothing to build. Checks
# that the programs which the cases start are there.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
test -x target/figmilld || { echo "build target/figmilld first: deploy/system.toml" >&2; exit 1; }
