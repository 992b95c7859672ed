"""The pure core: state machines that take inputs and return what to send, write and answer."""
