"""Logs and metrics of a gateway. Reads the figures of other parts; decides nothing."""
