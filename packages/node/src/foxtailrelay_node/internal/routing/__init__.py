"""Choosing backend servers."""
