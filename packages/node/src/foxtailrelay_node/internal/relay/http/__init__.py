"""HTTP/1.1 connections to callers and to backend servers."""
