"""Routes, services and organisations as configured by the operators."""
