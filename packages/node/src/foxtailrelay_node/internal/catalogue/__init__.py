"""Configuration computed from its log stream."""
