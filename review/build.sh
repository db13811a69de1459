#!/usr/bin/env bash
# Builds the stand-ins: they are plain Python and need nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
PYTHONPATH=review python3 -c "import stand_ins.site"
