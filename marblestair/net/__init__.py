"""Network I/O of a controller: HTTP client and server, links to its peers, and rate limiting."""
