#!/bin/sh
# The parsers' fuzz targets, a fixed count of inputs each.
exec sh "$SOURCE_ROOT/tests/fuzz/run" "$BUILD_ROOT"
