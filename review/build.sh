#!/usr/bin/env bash
# Builds what the scripts of the review start: the program, with the build of the deploy file. The
# stand-ins are Python modules without dependencies and are only checked here.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p basilgw-platform
for file in review/*.py review/[1-5]/case.py; do
    python3 - "$file" <<'CHECK'
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
CHECK
done
