"""What the decisions need of the outside, as protocols."""
