"""Bound on the relative drift of two clocks in the fleet."""

# Terms are shortened or lengthened by this ratio, whichever is safe.
DRIFT_MARGIN_RATIO = 0.001
