"""Helpers of the tests: a cluster of nodes in virtual time."""
