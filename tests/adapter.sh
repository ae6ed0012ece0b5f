#!/bin/bash
# Tests the adapter process. It must reply to a valid batch. On a malformed line, or on input that ends inside
# a line or a batch, it must do three things: print one line with the line number to standard error, print no
# further replies to standard output, and exit with a nonzero code.
#
#   bash tests/adapter.sh COMMAND
set -euo pipefail
command=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

settings='categories.count=1 categories.0.name=view categories.0.sloMs=500 categories.0.deadlineMs=1000'
settings+=' categories.0.importance=1 categories.0.idempotency=pure unknown.key=1'
start="TURN 1\nINSTANCE 1\nCREATE 5 $settings\nSNAPSHOT_ROWS 0 1\nENTRY h1 z k 0 up 1 -\nREGISTRY 0 1 C\nEOF_BATCH\n"
count=0

run_adapter() {  # run_adapter INPUT: stores the exit code in $exit and both outputs in files in $work
  exit=0
  printf '%b' "$1" | sh -c "$command" >"$work/out" 2>"$work/err" || exit=$?
  count=$((count + 1))
}
fail() { echo "adapter: $1"; cat "$work/out" "$work/err"; exit 1; }

expect_reply() {  # expect_reply CASE INPUT LINE: the adapter succeeds and its reply contains LINE
  run_adapter "$2"
  [ "$exit" -eq 0 ] || fail "$1: exit code $exit, expected 0"
  [ ! -s "$work/err" ] || fail "$1: expected no output on standard error"
  grep -qx -- "$3" "$work/out" || fail "$1: no line '$3' in the reply"
}
expect_error() {  # expect_error CASE INPUT LINE_NUMBER REPLIES: the adapter reports LINE_NUMBER after REPLIES replies
  run_adapter "$2"
  [ "$exit" -ne 0 ] || fail "$1: exit code 0, expected a nonzero exit code"
  [ "$(wc -l <"$work/err")" -eq 1 ] || fail "$1: expected one line on standard error"
  grep -q "line $3: " "$work/err" || fail "$1: expected 'line $3: ' on standard error"
  [ "$(grep -cx OK "$work/out" || true)" -eq "$4" ] || fail "$1: expected $4 complete replies on standard output"
}

expect_reply "empty batch" "TURN 1\nEOF_BATCH\n" OK
expect_reply "two batches" "TURN 1\nEOF_BATCH\nTURN 2\nEOF_BATCH\n" OK
expect_reply "one request" "${start}TURN 2\nINSTANCE 1\nKNOCK t/1 view - - 400 - 0\nEOF_BATCH\n" "PASS_ON t/1 h1 .*"
expect_error "unknown message" "TURN 1\nBOGUS\n" 2 0
expect_error "malformed number" "${start}TURN 2\nINSTANCE 1\nKNOCK t/1 view - - x - 0\nEOF_BATCH\n" 10 1
expect_error "unknown attempt result" "${start}TURN 2\nINSTANCE 1\nCOMPLETED t/1 0 h1 99 1 5 -\nEOF_BATCH\n" 10 1
expect_error "invalid settings" "TURN 1\nINSTANCE 1\nCREATE 5 categories.0.name=a\n" 3 0
expect_error "input ends inside a line" "${start}TURN 2\nINSTA" 9 1
expect_error "input ends inside a batch" "${start}TURN 2\n" 8 1
expect_error "input ends inside a list" "TURN 1\nSNAPSHOT_ROWS 0 2\nENTRY h1 z k 0 up 1 -\n" 3 0
expect_error "event for an unknown instance" "TURN 1\nINSTANCE 9\nFIRED sweep\n" 3 0
echo "adapter: $count cases passed"
