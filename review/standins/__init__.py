"""Stand-ins of the outside systems for the cases of the review, on loopback and the real clock."""
