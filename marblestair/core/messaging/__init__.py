"""What controllers tell and ask one another: one struct per message."""
