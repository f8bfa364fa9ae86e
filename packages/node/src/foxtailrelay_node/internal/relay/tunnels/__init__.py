"""Connections to backend servers through other nodes."""
