"""Duties that only the holder of the cluster lease carries out."""
