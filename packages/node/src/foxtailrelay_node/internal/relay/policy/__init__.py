"""Decisions on plain values, without network or clock."""
