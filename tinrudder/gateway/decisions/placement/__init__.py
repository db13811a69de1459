"""Rules on where a request runs: its route, its coordinator, the zone and back end of a call."""
