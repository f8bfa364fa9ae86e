"""Placement, quota and scaling policies, without network or clock."""
