"""Bounds what a process holds of others' bytes."""
