"""Helpers of the tests, such as a simulated cluster in virtual time."""
