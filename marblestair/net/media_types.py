"""Media type of the bodies that the HTTP server and client send."""

#: all bodies are MessagePack
CONTENT_TYPE = "application/msgpack"
