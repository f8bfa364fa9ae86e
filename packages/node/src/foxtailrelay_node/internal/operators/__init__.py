"""Carrying out operator statements."""
