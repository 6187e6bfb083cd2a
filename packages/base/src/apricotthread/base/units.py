"""Units of size and time."""

KIB = 1024
MIB = 1024 * KIB
MS_PER_S = 1000
US_PER_S = 1_000_000
