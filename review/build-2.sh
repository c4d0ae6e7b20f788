#!/bin/sh
# Run after the build of the deploy file. The stand-ins of cases 6 to 10 are scripts for Python's standard
# library: there is nothing to compile, only a check that they can be read here.
cd "$(dirname "$0")" || exit 2
for file in standins-2/review.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ -f "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 2
done
echo "the stand-ins are ready"
