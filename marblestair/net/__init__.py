"""The network side of a controller: HTTP, links to its peers, and rate budgets."""
