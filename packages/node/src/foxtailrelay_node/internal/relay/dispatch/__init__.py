"""Placement of requests by one node for each service, the dispatcher."""
