"""Rules that decide where a request runs: route, coordinator, zone and back end of each call."""
