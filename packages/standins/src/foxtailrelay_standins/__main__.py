"""``python -m foxtailrelay_standins``."""

from foxtailrelay_standins.internal import main

main.main()
