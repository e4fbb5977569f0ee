"""Soak test: random faults in real host processes, checked from outside."""
