"""Wire formats: the only package that contains the field names, paths and values of the interfaces.

Each interface has one module: users, agents, store, cloud and peers (the other controllers). The
rest of the program uses the standard terms of cluster scheduling and translates here.
"""
