"""Membership, heartbeats and links between nodes."""
