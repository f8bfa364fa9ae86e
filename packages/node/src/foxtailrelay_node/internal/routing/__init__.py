"""Choice of backend servers, and admission of requests."""
