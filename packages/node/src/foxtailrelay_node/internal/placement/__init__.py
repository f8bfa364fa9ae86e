"""Orders to engines, sent by one lease holder for each service."""
