"""Backend servers and their load."""
