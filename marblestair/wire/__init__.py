"""Wire formats: encode and decode the interfaces' messages, with their field names and paths.

Each interface has one module: users, agents, store, cloud and peers (the other controllers). Names
of the operators' status are in :mod:`marblestair.core.status`, and the kinds of frames between
controllers in :mod:`marblestair.net.framing`.
"""
