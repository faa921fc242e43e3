#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 there
# is no disruption.
export TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")/../.." || exit 2
[ -x target/standin3 ] && [ -x target/citrontiller ] || exit 2
timeout -k 2 115 target/standin3 models review/12/record.txt >/dev/null
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
