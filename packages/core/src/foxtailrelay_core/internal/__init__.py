"""Internal modules; not part of the public API."""
