"""Builds the parts of a relaying node from its settings."""
