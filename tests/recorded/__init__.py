"""Bytes as commit a47eb72 sends and stores them; `generate` made them."""
