"""Gossip between nodes."""
