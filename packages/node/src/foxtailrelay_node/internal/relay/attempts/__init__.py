"""Attempts of a request at backend servers, one after the other."""
