"""Builds the components of a relay node from its settings."""
