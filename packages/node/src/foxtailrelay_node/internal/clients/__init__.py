"""Clients for the platform's services and for backend servers."""
