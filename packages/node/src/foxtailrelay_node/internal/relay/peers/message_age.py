"""Ages in messages between nodes."""


def age_ms(now_s: float, then_s: float) -> int:
    """Return an age in milliseconds, rounded up so as not to look fresher."""
    return max(0, min(0xFFFFFFFF, int((now_s - then_s) * 1000) + 1))
