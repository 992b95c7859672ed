"""The core without I/O: state machines that turn inputs into messages, writes and responses."""
