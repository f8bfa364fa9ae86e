"""Each node's copies of topics in the platform's store."""
