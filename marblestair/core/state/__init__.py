"""The store's keys and records, and a controller's view of the keys that it watches."""
