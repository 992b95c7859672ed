"""How many machines there should be: demand, planning, scaling out and in, and their failures."""
