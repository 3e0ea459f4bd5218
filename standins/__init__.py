"""Small stand-ins for the systems outside: platform, engines, services."""
