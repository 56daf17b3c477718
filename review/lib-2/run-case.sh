#!/usr/bin/env bash
# Runs the program of a case, which review/build-2.sh has built, in a temporary folder.
# Usage: run-case.sh FOLDER-OF-THE-CASE
set -u
case_folder=$(cd "$1" && pwd)
export ROOT=$(cd "$case_folder/../.." && pwd)
program="$ROOT/target/review-2/case-$(basename "$case_folder")"
if [ ! -x "$program" ]; then
  echo "not built: run the build command of deploy/service.toml and review/build-2.sh" >&2
  exit 2
fi
export FOLDER=$(mktemp -d)
program_id=
end_all() {
  [ -z "$program_id" ] || kill -9 "$program_id" 2>/dev/null
  # Left only if the program was ended before it ended its controllers.
  [ ! -f "$FOLDER/pids" ] || kill -9 $(cat "$FOLDER/pids") 2>/dev/null
  rm -rf "$FOLDER"
}
trap end_all EXIT
trap 'exit 2' INT TERM HUP
cd "$case_folder"
"$program" &
program_id=$!
wait "$program_id"
code=$?
program_id=
if [ -n "${KEEP_LOGS:-}" ]; then mkdir -p "$KEEP_LOGS" && cp "$FOLDER"/*.log "$KEEP_LOGS"/; fi
[ "$code" -le 2 ] || code=2
exit "$code"
