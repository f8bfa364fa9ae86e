"""Followers and writers of the platform's log streams."""
