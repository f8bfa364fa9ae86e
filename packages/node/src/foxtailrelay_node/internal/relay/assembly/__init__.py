"""Builds the parts of a relaying node out of its settings."""
