"""The store as this controller sees it: keys, records, and the followed view."""
