"""The virtual-time simulator: the product's node code on simulated machines."""
