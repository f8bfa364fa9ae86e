"""Orders to engines, by one leader for each service."""
