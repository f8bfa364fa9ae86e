"""Request ledger: calls run at most once, accepted calls survive failures."""
