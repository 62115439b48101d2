#!/bin/sh
# Builds the stand-ins that the cases 4 to 8 start. All of them are Python programs of the standard
# library: this checks that each can be read, and leaves nothing behind.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-2/*.py review/[4-8]/*.py platform/standin/*.py test/gateways.py \
    support/ports.py support/kept_logs.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
