"""Execution of operator statements."""
