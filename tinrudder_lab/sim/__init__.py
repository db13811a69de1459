"""The virtual-time simulator, which runs the product's node code on simulated machines."""
