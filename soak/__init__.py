"""Injects random faults into real nodes and checks what callers receive."""
