"""Per-session life and further decisions of a front, without I/O."""
