"""Messages between controllers, one struct per message, and the summaries of shards."""
