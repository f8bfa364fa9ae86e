"""Configuration as folded from its stream."""
