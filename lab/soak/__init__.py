"""A seeded play with real processes: releases, restarts, losses, pauses."""
