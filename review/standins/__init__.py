"""Stand-ins for the cases of the review; standard library only."""
