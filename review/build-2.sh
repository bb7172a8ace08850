#!/bin/sh
# Checks the stand-ins that the cases 6 to 10 start. They are Python programs; only python3 is needed.
set -e
cd "$(dirname "$0")"
for file in standins-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
  [ ! -e "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
