#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin ] || exit 2
exec target/review-2/standin refused-pending review/10
