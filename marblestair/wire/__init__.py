"""The outside interfaces: the only place where their field names, paths and words appear.

One module per interface: users, agents, store, cloud and the other controllers. The rest of the
program uses the standard names of the field.
"""
