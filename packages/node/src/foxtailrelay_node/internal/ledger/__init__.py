"""The request ledger: at most once, and accepted survives."""
