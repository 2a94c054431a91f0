#!/bin/sh
# Checks that the stand-ins of all cases compile; nothing has to be built.
cd "$(dirname "$0")" || exit 2
for file in common/*.py ./[1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
