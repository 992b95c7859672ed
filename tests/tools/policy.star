# An operators' policy script: the functions and their arguments are part of the interface.
tune(margin = 0.4, reserve = 1.0, spare_gangs = 1, spot_risk = 2.0, keep = 1.5)
lead("nightly", 20)
