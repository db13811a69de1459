"""Scenarios with real node processes over loopback TCP, judged by the simulator's checkers."""
