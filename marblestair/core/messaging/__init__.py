"""The messages between controllers: one struct per message."""
