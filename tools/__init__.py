"""Development tools; not shipped."""
