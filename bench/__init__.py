"""Benchmarks with regression bounds; not shipped."""
