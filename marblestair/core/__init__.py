"""The scheduler's core without I/O: state machines that turn inputs into requests and replies."""
