#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
    [ -f "$folder/case.rs" ] || continue
    rustc --edition 2021 -O -o "target/review-2/case-$(basename "$folder")" "$folder/case.rs"
done
