"""One node places the requests of all for a service."""
