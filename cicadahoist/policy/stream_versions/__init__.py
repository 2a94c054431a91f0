"""Which software versions streams may begin at, and go on at."""
