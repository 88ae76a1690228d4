#!/bin/sh
# The stand-ins of the second review are Python scripts: checks that they compile.
set -e
cd "$(dirname "$0")"
for script in kit-2/fleet.py [4-6]/case.py; do
  [ ! -f "$script" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$script"
done
