"""Network side of a controller: HTTP server and client, links between controllers, budgets."""
