#!/usr/bin/env bash
exec python3 -B "$(dirname "$0")/run.py"
