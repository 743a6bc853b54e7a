#!/usr/bin/env bash
# Runs the case of the folder $1, without the disruption if TROUBLE=0. Exit status: 0 the rule held,
# 1 it was broken, 2 the case could not run.
cd "$1" || exit 2
export TROUBLE=${TROUBLE-1} PYTHONPATH=../standins PYTHONDONTWRITEBYTECODE=1
timeout -k 2 119 python3 case.py &
pid=$!
trap 'kill -TERM "$pid"' TERM INT HUP
wait "$pid"
status=$?
# Any other status, such as that of Python itself, says nothing about the rule.
case $status in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
