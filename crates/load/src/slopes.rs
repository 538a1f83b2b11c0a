//! Slope benchmarks and comparisons in virtual time.
