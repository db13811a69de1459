"""Rules for cooperation between gateways: load reports, unreachable zones, own process pauses."""
